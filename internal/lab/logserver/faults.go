package logserver

// Faults is a change of the log's behaviour. A field that is nil leaves the
// present behaviour as it is.
type Faults struct {
	Down          *bool `json:"down,omitempty"`       // close connections without an answer; appends have no effect
	Delay         *int  `json:"delay,omitempty"`      // ms by which each answer is late; half of it passes before the effect
	LoseResponses *int  `json:"lose,omitempty"`       // number of coming appends that take effect but get no answer
	Trim          *Trim `json:"trim,omitempty"`       // drop old records of a stream
	Generation    bool  `json:"generation,omitempty"` // start a new generation: all streams are empty and offsets count from 0
}

// Trim names the records of a stream to drop.
type Trim struct {
	Stream string `json:"stream"`
	First  uint64 `json:"first"` // first offset to keep
}
