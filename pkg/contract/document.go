package contract

import (
	"fmt"
	"time"

	"github.com/papayapath/papayapath/pkg/importance"
)

// Document is the serialized form of a contract: JSON in files, CBOR in log
// records and messages. The codecs fill it by reflection.
type Document struct {
	Customer string   `json:"customer" cbor:"1,keyasint" validate:"required,max=128,hostname_rfc1123"`
	Rate     float64  `json:"rate" cbor:"2,keyasint" validate:"gt=0,lte=10000000"`             // average requests per second
	Burst    int      `json:"burst" cbor:"3,keyasint" validate:"gte=1,lte=10000000"`           // burst size in requests
	Retries  int      `json:"retries" cbor:"4,keyasint" validate:"gte=0,lte=100"`              // maximum over the whole call chain
	Window   Duration `json:"window" cbor:"5,keyasint" validate:"gte=1000000000"`              // validity of an idempotency key, at least 1 s
	Calls    []Call   `json:"calls" cbor:"6,keyasint" validate:"required,min=1,max=1024,dive"` // matched in this order
}

// Call is the serialized form of a Class.
type Call struct {
	Name       string           `json:"name" cbor:"1,keyasint" validate:"required,max=128,hostname_rfc1123"`
	Service    string           `json:"service" cbor:"2,keyasint" validate:"required,max=128,hostname_rfc1123"`
	Method     string           `json:"method" cbor:"3,keyasint" validate:"omitempty,oneof=GET HEAD OPTIONS POST PUT PATCH DELETE"` // empty for all methods
	Path       string           `json:"path" cbor:"4,keyasint" validate:"required,max=1024,startswith=/"`                           // path prefix, without the service
	Importance importance.Level `json:"importance" cbor:"5,keyasint"`
	Repeat     bool             `json:"repeat" cbor:"6,keyasint"`                                           // the call may run more than once
	Deadline   Duration         `json:"deadline" cbor:"7,keyasint" validate:"gte=1000000,lte=600000000000"` // 1 ms to 10 min
}

// Duration is a duration that is encoded in JSON as a string such as 250ms or
// 24h.
type Duration time.Duration

// String returns the form of time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText encodes d in the form of time.Duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes the form of time.ParseDuration. It returns a
// *DurationError if text is malformed.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return &DurationError{text: string(text)}
	}
	*d = Duration(value)
	return nil
}

// DurationError reports a malformed duration.
type DurationError struct{ text string }

// Error states the text and the expected form.
func (e *DurationError) Error() string {
	return fmt.Sprintf("%q is no time span like 250ms, 10s or 24h", e.text)
}

// FromDocument returns the contract described by d.
func FromDocument(d Document) *Contract {
	c := &Contract{
		customer: d.Customer, rate: d.Rate, burst: d.Burst, retries: d.Retries,
		window: time.Duration(d.Window), classes: make([]Class, 0, len(d.Calls)),
	}
	for _, call := range d.Calls {
		class := NewClass(call.Service, call.Method, call.Path, call.Importance, call.Repeat, time.Duration(call.Deadline))
		c.classes = append(c.classes, class.WithName(call.Name))
	}
	return c
}

// Document returns the serialized form of c.
func (c *Contract) Document() Document {
	d := Document{
		Customer: c.customer, Rate: c.rate, Burst: c.burst, Retries: c.retries,
		Window: Duration(c.window),
	}
	for _, class := range c.classes {
		d.Calls = append(d.Calls, Call{
			Name: class.name, Service: class.service, Method: class.method, Path: class.prefix,
			Importance: class.importance, Repeat: class.repeatable, Deadline: Duration(class.deadline),
		})
	}
	return d
}
