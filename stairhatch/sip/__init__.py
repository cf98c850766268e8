"""SIP (RFC 3261 and its extensions) in layers, from bytes to dialogs, and the appliance's frontend on top.

Every layer is sans-I/O: it is fed bytes or messages, is given the clock, and knows no socket, file or event
loop. From the lowest up; a module imports only from those before it:

- `addresses`, `grammar`, `multipart`: transport addresses, the grammar of header fields and bodies
- `response_format`, `request_head`, `request_scan`: the text of responses, the mandatory headers of a request
- `transport`: UDP ports and TCP connections (section 18)
- `transaction_base`, `server_transactions`, `client_transactions`: the state machines of section 17
- `dialogs`: identity, route set and order of requests of a dialog (section 12)
- `session_descriptions`, `session_timer`, `reliable_provisional`: what a dialog's session has agreed on
- `digest_auth`: who may call
- `config`, `context`, `flow_router`, `responder`, `user_agent`: shared by the parts of the user agent
- `client_requests`, `dialog_path`, `provisional_response`, `success_response`, `session_refresh`, `call_leg`:
  one caller's call and its dialog
- `call_classification`, `request_admission`, `call_setup`, `dialog_requests`, `request_validation`,
  `request_dispatcher`, `frontend`: what is done with each request

Messages themselves are parsed and written by `node/sip_parser` and `node/sip_message`, which the platform's
frontend uses too. This package imports nothing by itself.
"""
