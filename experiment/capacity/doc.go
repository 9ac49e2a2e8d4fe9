// Package capacity measures the slopes behind the capacity page: the cost of one
// endpoint, entry, request, token, change and event for a process, in bytes, messages,
// processor time and memory.
//
// Everything runs in one process on loopback addresses. Costs in time are the
// processor time of this process, which other load on the machine affects less than
// elapsed time.
package capacity
