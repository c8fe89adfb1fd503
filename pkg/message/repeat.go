package message

import "slices"

// RepeatHeader is the header field of an offer whose run repeats, or is part of
// a run that repeats, one that may have run before. Backend servers see it.
const RepeatHeader = "Papayapath-Repeat"

// Repeats reports whether the run of o is part of a repetition.
func (o *Offer) Repeats() bool {
	for _, f := range o.Header {
		if f.Name == RepeatHeader {
			return true
		}
	}
	return false
}

// MarkRepeat marks the run of o as part of a repetition. The header is copied,
// since other offers may share it.
func (o *Offer) MarkRepeat() {
	if !o.Repeats() {
		o.Header = append(slices.Clip(o.Header), Field{Name: RepeatHeader, Value: "1"})
	}
}
