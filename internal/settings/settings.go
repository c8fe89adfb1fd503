package settings

// Settings is the settings file of one node, JSON with comments. The decoder
// fills it by reflection, so its fields are exported.
type Settings struct {
	Region    string `json:"region"`    // region of the instance
	Domain    string `json:"domain"`    // failure domain of the instance
	Callers   string `json:"callers"`   // address and port of HTTP for callers
	Backend   string `json:"backend"`   // loopback address and port of HTTP for the own backend server
	Peers     string `json:"peers"`     // address and UDP port of QUIC for other nodes
	Operators string `json:"operators"` // address and port of HTTP for status, metrics and drain
	Log       string `json:"log"`       // base URL of the platform log
	Token     string `json:"token"`     // bearer token of operators; empty refuses commands that change state
	Keys      Keys   `json:"keys"`      // TLS between nodes
	Trace     string `json:"trace"`     // base URL of an OTLP collector; empty exports no traces
	Level     string `json:"level"`     // log level: debug, info, warn or error
}

// Keys names the PEM files of mutual TLS between nodes.
type Keys struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}
