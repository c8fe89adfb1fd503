package importance

import "fmt"

// Level is an importance level. A larger value is more important.
type Level uint8

// Levels in ascending order. Reservations and stamped checks are Critical.
const (
	Background Level = iota
	Normal
	High
	Critical
)

var names = [...]string{"background", "normal", "high", "critical"}

// Parse returns the level with the given name, or a *NameError.
func Parse(name string) (Level, error) {
	for i, n := range names {
		if n == name {
			return Level(i), nil
		}
	}
	return Background, &NameError{name: name}
}

// String returns the name of the level in contracts.
func (l Level) String() string {
	if int(l) >= len(names) {
		return fmt.Sprintf("level(%d)", uint8(l))
	}
	return names[l]
}

// MarshalText encodes l as its name.
func (l Level) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText decodes a name. It returns a *NameError if the name is unknown.
func (l *Level) UnmarshalText(text []byte) error {
	level, err := Parse(string(text))
	if err != nil {
		return err
	}
	*l = level
	return nil
}

// NameError reports the name of an unknown level.
type NameError struct{ name string }

// Error lists the valid names.
func (e *NameError) Error() string {
	return fmt.Sprintf("importance %q is none of background, normal, high, critical", e.name)
}
