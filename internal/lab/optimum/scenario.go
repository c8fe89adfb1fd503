package optimum

// Scenario is a deployment and its load, read from JSON with comments. The
// decoder fills it by reflection, so its fields are exported.
type Scenario struct {
	Services []Service `json:"services" validate:"required,min=1,dive"`
	Classes  []Class   `json:"classes" validate:"required,min=1,dive"`
}

// Service is a group of equal backend servers.
type Service struct {
	Name    string  `json:"name" validate:"required"`
	Servers int     `json:"servers" validate:"min=1"`
	Slots   int     `json:"slots" validate:"min=1"`          // requests that one server runs at once
	Speed   float64 `json:"speed" validate:"omitempty,gt=0"` // mean over the servers; 1 if it is missing
}

// Class is a kind of request of clients, or of the calls that servers make.
type Class struct {
	Name    string  `json:"name" validate:"required"`
	Service string  `json:"service" validate:"required"`
	Work    float64 `json:"work" validate:"gt=0"`             // at a server of speed 1, ms
	Rate    float64 `json:"rate" validate:"omitempty,gte=0"`  // requests of clients per second; 0 for calls
	Worth   float64 `json:"worth" validate:"omitempty,gte=0"` // of an answer in time
	// Objective is the time within which an answer has its worth, and Wait how
	// long the client waits at all, both in ms; 0 for calls.
	Objective float64 `json:"objective" validate:"omitempty,gt=0"`
	Timeout   float64 `json:"wait" validate:"omitempty,gtefield=Objective"`
	// Level is the importance; Normal if it is missing.
	Level string `json:"level" validate:"omitempty,oneof=background normal high critical"`
	Calls []Call `json:"calls" validate:"omitempty,dive"`
}

// Call says how often a run calls another class.
type Call struct {
	Class  string  `json:"class" validate:"required"`
	PerRun float64 `json:"times" validate:"gt=0"`
}

// Check reports names that are not defined, and calls that lead back to their
// own class.
func (s *Scenario) Check(report func(field, reason string)) {
	services := make(map[string]bool)
	for _, v := range s.Services {
		services[v.Name] = true
	}
	classes := make(map[string]*Class)
	for i := range s.Classes {
		classes[s.Classes[i].Name] = &s.Classes[i]
	}
	for _, c := range s.Classes {
		if !services[c.Service] {
			report("classes", "class "+c.Name+" is of an unknown service "+c.Service)
		}
		for _, call := range c.Calls {
			if classes[call.Class] == nil {
				report("classes", "class "+c.Name+" calls an unknown class "+call.Class)
				return
			}
		}
	}
	for _, c := range s.Classes {
		if deeper(classes, c.Name, len(classes)) {
			report("classes", "the calls of class "+c.Name+" lead back to it")
			return
		}
	}
}

// deeper reports whether the calls of a class go on beyond a depth.
func deeper(classes map[string]*Class, name string, depth int) bool {
	if depth == 0 {
		return len(classes[name].Calls) > 0
	}
	for _, call := range classes[name].Calls {
		if deeper(classes, call.Class, depth-1) {
			return true
		}
	}
	return false
}
