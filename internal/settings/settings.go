package settings

import (
	"net/netip"
)

// Settings is the settings file of one node, JSON with comments. The decoder
// fills it by reflection, so its fields are exported.
type Settings struct {
	Region    string `json:"region" validate:"required,max=128,hostname_rfc1123"`    // region of the instance
	Domain    string `json:"domain" validate:"required,max=128,hostname_rfc1123"`    // failure domain of the instance
	Callers   string `json:"callers" validate:"required"`                            // address and port of HTTP for callers
	Backend   string `json:"backend" validate:"required"`                            // loopback address and port of HTTP for the own backend server
	Peers     string `json:"peers" validate:"required"`                              // address and UDP port of QUIC for other nodes
	Operators string `json:"operators" validate:"required"`                          // address and port of HTTP for status, metrics and drain
	Log       string `json:"log" validate:"required,http_url"`                       // base URL of the platform log
	Token     string `json:"token"`                                                  // bearer token of operators; empty refuses commands that change state
	Keys      Keys   `json:"keys"`                                                   // TLS between nodes
	Trace     string `json:"trace" validate:"omitempty,http_url"`                    // base URL of an OTLP collector; empty exports no traces
	Level     string `json:"level" validate:"omitempty,oneof=debug info warn error"` // log level: debug, info, warn or error
}

// Keys names the PEM files of mutual TLS between nodes.
type Keys struct {
	Certificate string `json:"certificate" validate:"required"`
	Key         string `json:"key" validate:"required"`
	Authority   string `json:"authority" validate:"required"`
}

// Check reports addresses that are not usable.
func (s *Settings) Check(report func(field, reason string)) {
	for _, f := range []struct{ name, text string }{
		{"callers", s.Callers}, {"backend", s.Backend}, {"peers", s.Peers}, {"operators", s.Operators},
	} {
		if f.text == "" {
			continue
		}
		address, err := netip.ParseAddrPort(f.text)
		switch {
		case err != nil:
			report(f.name, "must be an IP address and a port, like 10.0.0.7:7000")
		case f.name == "backend" && !address.Addr().IsLoopback():
			report(f.name, "must be a loopback address, since anyone who reaches it can make calls")
		case f.name == "peers" && address.Addr().IsUnspecified():
			report(f.name, "must be the address at which other nodes reach this one")
		}
	}
}
