package notice

// Notice is what a backend server says of itself in a response. Its fields are
// exported for the codec.
type Notice struct {
	_       struct{} `cbor:",toarray"`
	Limited bool     // the server names a limit
	Rate    float64  // if Limited, requests a second that it takes from all nodes together
	Leaving bool     // the server is going to shut down
}
