package ledger

// State says what the ledger knows of a key.
type State uint8

// States of a key.
const (
	// Absent means that the key is not in the ledger and may be entered.
	Absent State = iota
	// Running means that the key was handed over and has not ended.
	Running
	// Done means that the whole answer is kept.
	Done
	// Bodiless means that the key completed, but its body was too large to keep.
	Bodiless
	// Doubtful means that the key may or may not have run.
	Doubtful
	// Mismatch means that the key was used with another customer or content.
	Mismatch
	// Passed means that the key's window is over, or that its record may
	// have been dropped.
	Passed
	// Full means that the ledger takes no new keys.
	Full
)

var names = [...]string{
	"absent", "running", "done", "bodiless", "doubtful", "mismatch", "passed", "full",
}

// String returns the name of the state.
func (s State) String() string {
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Ticket names one run of a key. A key that was handed back unread may run
// again under another ticket, so a late report on the first run can't be taken
// for one on the second.
type Ticket struct {
	Key string
	Run uint64
}
