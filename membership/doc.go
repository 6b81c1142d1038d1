// Package membership implements a SWIM-like membership protocol: every process
// of a deployment keeps a list of all processes with their health, and the
// processes replicate small versioned items among themselves. It needs neither
// a separate service nor a leader.
//
// Each process pings a few others, its successors on a ring of hashed names. A
// process that does not answer is checked indirectly, through other processes,
// before it becomes suspect. Updates are pushed at once to a few random
// processes; a periodic exchange of digests repairs what the pushes missed.
// Table holds the state and its rules and does no input or output. Node runs
// the protocol.
package membership
