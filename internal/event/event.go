package event

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"
)

// NumberField is the name of the log field that holds the number of the event.
const NumberField = "event"

// Event is a type of log line. Its number never changes and is never reused, so
// that alerts can match it.
type Event struct {
	number int
	level  logrus.Level
	text   string
}

// registry holds the events by number. It is written only during
// initialization.
var registry = make(map[int]Event)

const duplicateNumberFormat = "event: number %d is already in use"

// register adds an event to the registry. It panics if the number is in use.
func register(number int, level logrus.Level, text string) Event {
	if _, ok := registry[number]; ok {
		panic(fmt.Sprintf(duplicateNumberFormat, number))
	}
	e := Event{number: number, level: level, text: text}
	registry[number] = e
	return e
}

// All returns all events, sorted by number.
func All() []Event {
	all := make([]Event, 0, len(registry))
	for _, e := range registry {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Event) int { return cmp.Compare(a.number, b.number) })
	return all
}

// Number returns the number of the event, which alerts match.
func (e Event) Number() int { return e.number }

// Level returns the log level of the event.
func (e Event) Level() logrus.Level { return e.level }

// Text returns the message of the log line.
func (e Event) Text() string { return e.text }

// Log writes the event with fields to log.
func (e Event) Log(log *logrus.Logger, fields logrus.Fields) {
	log.WithField(NumberField, e.number).WithFields(fields).Log(e.level, e.text)
}
