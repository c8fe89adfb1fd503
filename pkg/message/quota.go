package message

// Demand reports to an allocator the rate of requests of a customer that arrive
// at a node, whether or not they are admitted.
type Demand struct {
	Customer string  `cbor:"1,keyasint"`
	Rate     float64 `cbor:"2,keyasint"` // requests per second
}

// Share is the part of the contracted rate of a customer that a node may admit.
type Share struct {
	Customer string  `cbor:"1,keyasint"`
	Rate     float64 `cbor:"2,keyasint"` // requests per second
	Nodes    int     `cbor:"3,keyasint"` // nodes that report demand for the customer
}
