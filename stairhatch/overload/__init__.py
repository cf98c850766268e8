"""The overload control: which server takes a call, whether it is tried again, and which calls are rejected.

It is fed typed events and answers with typed actions; it knows no wire, no socket and no clock of its own.
Where to look:

- a call's life and its final answer: `controller`; the calls that wait: `pending_queue`
- which server a call goes to: `load_balancing`; whether a server counts as congested: `congestion`
- how many set-ups may be pending at a server: `concurrency`; at one that is warming up: `slow_start`
- servers that get nothing for a while, and busy numbers: `outlier`
- what load reports and the results of attempts lead to: `load_reports`
- callers that retry unmarked: `caller_retry`; onset, abatement and the settings in use: `thresholds`
- what is known of a server: `endpoint`; how the parts are wired: `controller_parts`
"""
