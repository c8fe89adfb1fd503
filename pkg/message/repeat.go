package message

import "slices"

// RepeatHeader is the header field that marks a run as the repetition, or as
// part of the repetition, of a run that may have been executed before. It is
// passed to backend servers.
const RepeatHeader = "Papayapath-Repeat"

// Repeats reports whether the run of o is marked as part of a repetition.
func (o *Offer) Repeats() bool {
	for _, f := range o.Header {
		if f.Name == RepeatHeader {
			return true
		}
	}
	return false
}

// MarkRepeat marks the run of o as part of a repetition. It copies the header,
// which other offers may share.
func (o *Offer) MarkRepeat() {
	if !o.Repeats() {
		o.Header = append(slices.Clip(o.Header), Field{Name: RepeatHeader, Value: "1"})
	}
}
