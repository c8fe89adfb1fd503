package logserver

// Faults is a change of the log's behavior. Nil fields leave the current
// behavior unchanged.
type Faults struct {
	Down          *bool `json:"down,omitempty"`       // close connections without a response; appends have no effect
	Delay         *int  `json:"delay,omitempty"`      // delay of each response in ms, half of it before the operation
	LoseResponses *int  `json:"lose,omitempty"`       // number of following appends that take effect but get no response
	Trim          *Trim `json:"trim,omitempty"`       // remove old records of a stream
	Generation    bool  `json:"generation,omitempty"` // start a new generation: all streams are empty and offsets restart at 0
}

// Trim selects the records of a stream to remove.
type Trim struct {
	Stream string `json:"stream"`
	First  uint64 `json:"first"` // offset of the first record to keep
}
