// Package quarantine keeps under which requests endpoints crashed, and which parts of prompts these had, and decides which requests
// are not sent to further endpoints because of that.
//
// A crash shows only that one of the requests caused it that the endpoint had not answered. Each of them is suspected, as what its
// client may send again, and each of their shared parts if the endpoint had hardly begun to answer. A complete answer clears its
// request, and one that goes well its parts. What was at several crashes and was not cleared in between is quarantined: its requests
// are refused but for single trials. Routers exchange records of parts and requests; merging them in any order, and more than once,
// gives the same result.
package quarantine
