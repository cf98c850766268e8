"""The overload control: chooses the server of each call, retries failed attempts and rejects excess calls.

The control receives typed events and returns typed actions. It uses no wire format, no socket and no clock.
Modules by subject:

- the course of a call up to its final answer: `controller`; the calls that wait for a server: `pending_queue`
- the choice of a server for a call: `load_balancing`; the detection of congested servers: `congestion`
- the limit on pending set-ups at a server: `concurrency`; the limit at a warming server: `slow_start`
- the temporary ejection of servers, and the backoff from busy called numbers: `outlier`
- the evaluation of load reports and of the results of attempts: `load_reports`
- the detection of caller retries that are not marked as retries: `caller_retry`
- the settings in use, with the onset and abatement thresholds: `thresholds`
- the recorded state of a server: `endpoint`; the construction of the parts: `controller_parts`
"""
