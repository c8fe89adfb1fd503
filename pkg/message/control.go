package message

// Control is a control message between nodes.
type Control struct{}
