package document_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/document"
	"github.com/papayapath/papayapath/internal/settings"
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/importance"
)

const good = `// Contract of the town of Brest.
{
	"customer": "brest",
	"rate": 12.5, "burst": 30, "retries": 2,
	"window": "24h", // keys
	"calls": [
		{"name": "reserve", "service": "reservations", "method": "POST", "path": "/",
			"importance": "critical", "repeat": false, "deadline": "2s"},
	],
}`

// Guards against a field that is read wrongly.
func TestDecode(t *testing.T) {
	d, err := document.Decode[contract.Document]("brest.json", []byte(good))
	require.NoError(t, err)
	require.Equal(t, contract.Document{
		Customer: "brest", Rate: 12.5, Burst: 30, Retries: 2, Window: contract.Duration(24 * time.Hour),
		Calls: []contract.Call{{
			Name: "reserve", Service: "reservations", Method: "POST", Path: "/",
			Importance: importance.Critical, Deadline: contract.Duration(2 * time.Second),
		}},
	}, d)
	require.NoError(t, d.Validate())
}

// Guards against faults that are missed, shown at another place, or hidden by
// the first one.
func TestDecodeReportsAllFaults(t *testing.T) {
	text := `{
	"customer": "b r",
	"rate": "many",
	"burst": 0, "color": 1,
	"retries": 1.5,
	"window": "10ms",
	"burst": 2,
	"calls": [
		{"name": "a", "service": "s", "path": "x",
			"importance": "vital", "repeat": null, "deadline": "soon"},
		{"name": "a", "service": "s", "path": "/", "method": "get",
			"importance": "high", "repeat": true, "deadline": "1h"},
		7,
	]
}`
	_, err := document.Decode[contract.Document]("c.json", []byte(text))
	require.Equal(t, strings.TrimSpace(`
c.json:2: customer: must consist of letters, digits, hyphens and dots
c.json:3: rate: must be a number
c.json:4: color: unknown field
c.json:4: burst: must be at least 1
c.json:5: retries: must be a whole number in range
c.json:6: window: must be at least 1s
c.json:7: burst: appears twice
c.json:9: calls[0].path: must start with /
c.json:10: calls[0].importance: importance "vital" is none of background, normal, high, critical
c.json:10: calls[0].repeat: must be true or false
c.json:10: calls[0].deadline: "soon" is no time span like 250ms, 10s or 24h
c.json:11: calls[1].method: must be one of GET HEAD OPTIONS POST PUT PATCH DELETE
c.json:11: calls[1].name: is also the name of calls[0]
c.json:12: calls[1].deadline: must be at most 10m0s
c.json:13: calls[2]: must be an object`), err.Error())
	faults, ok := document.AsFaults(err)
	require.True(t, ok)
	require.Equal(t, []any{"c.json", 2, "customer"}, []any{faults[0].File(), faults[0].Line(), faults[0].Field()})
}

// Guards against a class that can never match being published unnoticed.
func TestHiddenCall(t *testing.T) {
	text := strings.Replace(good, `"calls": [`, `"calls": [
		{"name": "all", "service": "reservations", "path": "/", "importance": "high", "repeat": false, "deadline": "1s"},`, 1)
	_, err := document.Decode[contract.Document]("c.json", []byte(text))
	require.EqualError(t, err, "c.json:8: calls[1].path: is never reached, since calls[0] matches the same calls first")
}

// Guards against syntax errors without a place, and against input that makes
// the parser use much memory.
func TestDecodeOfDamagedText(t *testing.T) {
	for text, want := range map[string]string{
		"{\n\"a\":,}":               "f:2: invalid character",
		"":                          "f:1: parsing value",
		"[]":                        "f:1: must be an object",
		"\xff":                      "f: not valid UTF-8",
		strings.Repeat("[", 100000): "f: nested more than 64 levels deep",
	} {
		_, err := document.Decode[contract.Document]("f", []byte(text))
		require.ErrorContains(t, err, want)
	}
}

// Guards against settings with which a node can't run, or could be reached by
// others at its backend server's address.
func TestSettings(t *testing.T) {
	_, err := document.Decode[settings.Settings]("s.json", []byte(`{
	"region": "bretagne", "domain": "brest",
	"callers": "localhost:80",
	"backend": "10.0.0.1:81",
	"peers": "0.0.0.0:82",
	"log": "log.example",
	"level": "loud",
	"keys": {"key": "k.pem"}
}`))
	require.Equal(t, strings.TrimSpace(`
s.json:1: operators: is required
s.json:3: callers: must be an IP address and a port, like 10.0.0.7:7000
s.json:4: backend: must be a loopback address, since anyone who reaches it can make calls
s.json:5: peers: must be the address at which other nodes reach this one
s.json:6: log: must be an http or https URL
s.json:7: level: must be one of debug info warn error
s.json:8: keys.certificate: is required
s.json:8: keys.authority: is required`), err.Error())
}

// Guards against a panic on any file, and against an accepted contract that
// the log would refuse.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(`{"calls": [{}, []], "rate": 1e999}`))
	f.Add([]byte(`/* */ {"customer": "\u0000"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		document.Fields(data)
		d, err := document.Decode[contract.Document]("f", data)
		if err == nil {
			require.NoError(t, d.Validate())
			require.Equal(t, d, contract.FromDocument(d).Document())
		}
	})
}
