package lint

// Kinds of findings.
const (
	Invalid       = "invalid"       // nodes reject the configuration
	Restricted    = "restricted"    // nodes serve an entry in another way than it says
	Unreachable   = "unreachable"   // an entry that no request can ever use
	Contradiction = "contradiction" // values that exclude each other
	Outdated      = "outdated"      // nodes keep the configuration in force
	Difference    = "difference"    // a change of what is in force; no fault
)

// Finding is one result of a check.
type Finding struct {
	Kind  string `json:"kind"`
	Entry string `json:"entry"` // what it is about, such as a route
	Text  string `json:"text"`
}

// IsFault reports whether the configuration should not be put in force as it is.
func (f Finding) IsFault() bool { return f.Kind != Difference }

// String returns the finding as one line.
func (f Finding) String() string { return f.Kind + ": " + f.Entry + ": " + f.Text }
