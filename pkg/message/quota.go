package message

// Demand reports to an allocator how many requests of a customer arrive at a
// node, whether or not they are admitted.
type Demand struct {
	Customer string  `cbor:"1,keyasint"`
	Rate     float64 `cbor:"2,keyasint"` // requests a second
}

// Share tells a node which part of a customer's rate it may admit.
type Share struct {
	Customer string  `cbor:"1,keyasint"`
	Rate     float64 `cbor:"2,keyasint"` // requests a second
	Nodes    int     `cbor:"3,keyasint"` // nodes that report demand of the customer
}
