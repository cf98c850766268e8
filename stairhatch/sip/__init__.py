"""SIP (RFC 3261 and its extensions) in layers, from bytes to dialogs, and the appliance's frontend on top.

Every layer is sans-I/O: its caller passes it bytes or messages and a clock, and it uses no socket, file or
event loop. The modules, from the lowest layer up; a module imports only from modules listed before it:

- `addresses`, `grammar`, `multipart`: transport addresses, the grammar of header fields and bodies
- `response_format`, `request_head`, `request_scan`: the text of responses; the mandatory headers of a request
- `transport`: UDP ports and TCP connections (section 18)
- `transaction_base`, `server_transactions`, `client_transactions`: the state machines of section 17
- `dialogs`: the id, route set, remote target and sequence numbers of a dialog (section 12)
- `session_descriptions`, `session_timer`, `reliable_provisional`: the negotiated state of a dialog's session
- `digest_auth`: the authentication of callers
- `config`, `context`, `flow_router`, `responder`, `user_agent`: the layers that the modules below share
- `client_requests`, `dialog_path`, `provisional_response`, `success_response`, `session_refresh`, `call_leg`:
  the caller's leg of one call, and its dialog
- `call_classification`, `request_admission`, `call_setup`, `dialog_requests`, `request_validation`,
  `request_dispatcher`, `frontend`: the admission, dispatch and processing of received requests

Messages are parsed and formatted by `node/sip_parser` and `node/sip_message`, which the platform's frontend
also uses. Importing the package alone imports none of its modules.
"""
