package optimum

// Scenario is a deployment and its load, read from JSON with comments. Its fields
// are exported because the decoder sets them by reflection.
type Scenario struct {
	Services []Service `json:"services" validate:"required,min=1,dive"`
	Classes  []Class   `json:"classes" validate:"required,min=1,dive"`
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name    string  `json:"name" validate:"required"`
	Servers int     `json:"servers" validate:"min=1"`
	Slots   int     `json:"slots" validate:"min=1"`          // requests that one server runs at once
	Speed   float64 `json:"speed" validate:"omitempty,gt=0"` // mean over the servers; default 1
}

// Class is a class of requests from clients or of nested calls from servers.
type Class struct {
	Name    string  `json:"name" validate:"required"`
	Service string  `json:"service" validate:"required"`
	Work    float64 `json:"work" validate:"gt=0"`             // service time on a server of speed 1, in ms
	Rate    float64 `json:"rate" validate:"omitempty,gte=0"`  // client requests per second; 0 for nested calls
	Worth   float64 `json:"worth" validate:"omitempty,gte=0"` // of an answer within the objective
	// Objective is the latency, in ms, up to which an answer has its worth.
	// Timeout is the client timeout in ms. Both are 0 for nested calls.
	Objective float64 `json:"objective" validate:"omitempty,gt=0"`
	Timeout   float64 `json:"wait" validate:"omitempty,gtefield=Objective"`
	// Level is the importance; default Normal.
	Level string `json:"level" validate:"omitempty,oneof=background normal high critical"`
	Calls []Call `json:"calls" validate:"omitempty,dive"`
}

// Call is a nested call to another class and its count per run.
type Call struct {
	Class  string  `json:"class" validate:"required"`
	PerRun float64 `json:"times" validate:"gt=0"`
}

// Check reports undefined names and call cycles.
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
			report("classes", "class "+c.Name+" refers to an unknown service "+c.Service)
		}
		for _, call := range c.Calls {
			if classes[call.Class] == nil {
				report("classes", "class "+c.Name+" refers to an unknown class "+call.Class)
				return
			}
		}
	}
	for _, c := range s.Classes {
		if callsExceedDepth(classes, c.Name, len(classes)) {
			report("classes", "the calls of class "+c.Name+" form a cycle")
			return
		}
	}
}

// callsExceedDepth reports whether the call tree of a class is deeper than depth.
func callsExceedDepth(classes map[string]*Class, name string, depth int) bool {
	if depth == 0 {
		return len(classes[name].Calls) > 0
	}
	for _, call := range classes[name].Calls {
		if callsExceedDepth(classes, call.Class, depth-1) {
			return true
		}
	}
	return false
}
