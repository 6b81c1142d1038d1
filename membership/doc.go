// Package membership tells which processes of a deployment are alive and which
// are leaving, and carries small pieces of news between them: there is no
// service of its own and no leader.
//
// Each process watches a few others, its successors on a ring of hashed names.
// One that does not answer is checked through other processes before it is
// suspected. News is pushed to a few random processes at once; a periodic
// exchange of digests repairs what the pushes missed. Table holds the state and
// its rules and does no input or output. Node is the mechanism around it.
package membership
