package wire

import "strconv"

// Header fields of papayapath (section 6 of the design).
const (
	Customer = "Papayapath-Customer"
	Request  = "Papayapath-Request"
	Timeout  = "Papayapath-Timeout" // ms
	Key      = "Idempotency-Key"
	Outcome  = "Papayapath-Outcome"
	Reason   = "Papayapath-Reason"
	Call     = "Papayapath-Call"
	Deadline = "Papayapath-Deadline" // Unix time in ms
)

// Header fields of the lab. They are end-to-end fields, which proxies forward,
// and are not part of the content that nodes compare.
const (
	Root     = "Lab-Root"     // ID of the customer request
	Attempt  = "Lab-Attempt"  // attempt number, starting at 1
	WorkKey  = "Lab-Work"     // key of a non-repeatable call, counted by the checkers
	Crash    = "Lab-Crash"    // present if the request crashes the server that runs it
	Checksum = "Lab-Checksum" // xxhash64 of the response body, hexadecimal
	Shed     = "Lab-Shed"     // present if the server rejected the request for lack of slots
	Failed   = "Lab-Failed"   // service whose response the server did not receive
)

// Values of Outcome and Reason that the lab evaluates.
const (
	Complete = "complete"
	NotRun   = "notrun"
	Overload = "overload"
)

// Identity identifies the customer request that caused a call.
type Identity struct {
	Root    string
	Attempt int
	WorkKey string // empty if the call may run more than once
	Crash   bool
}

// Get returns the value of a header field.
type Get func(name string) string

// Set sets a header field.
type Set func(name, value string)

// Read returns the identity in a request header. If the lab's fields are
// missing, it uses the request ID and idempotency key of papayapath.
func Read(get Get) Identity {
	i := Identity{Root: get(Root), WorkKey: get(WorkKey), Crash: get(Crash) != ""}
	if i.Root == "" {
		i.Root = get(Request)
		i.WorkKey = get(Key)
	}
	i.Attempt, _ = strconv.Atoi(get(Attempt))
	return i
}

// Write sets the header fields that carry the identity.
func (i Identity) Write(set Set) {
	set(Root, i.Root)
	set(Attempt, strconv.Itoa(i.Attempt))
	if i.WorkKey != "" {
		set(WorkKey, i.WorkKey)
	}
	if i.Crash {
		set(Crash, "1")
	}
}
