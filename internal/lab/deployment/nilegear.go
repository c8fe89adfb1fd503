package deployment

import (
	"net/http"
	"time"

	"github.com/papayapath/papayapath/internal/lab/load"
	"github.com/papayapath/papayapath/internal/lab/server"
	"github.com/papayapath/papayapath/pkg/importance"
)

// Request classes of Nilegear. All requests enter at the profiles service and
// have a call depth of four.
var (
	profiles = load.Class{
		Service: "profiles", Method: http.MethodGet, Path: "/teeth",
		Importance: importance.Background, Deadline: 800 * time.Millisecond,
	}
	preview = load.Class{
		Service: "profiles", Method: http.MethodGet, Path: "/stiffness",
		Importance: importance.High, Deadline: 800 * time.Millisecond,
	}
	certify = load.Class{
		Service: "profiles", Method: http.MethodPost, Path: "/checks",
		Importance: importance.Critical, NonRepeatable: true, Deadline: 1500 * time.Millisecond,
	}
	drawings = load.Class{
		Service: "profiles", Method: http.MethodGet, Path: "/bundles",
		Importance: importance.Normal, Deadline: 2 * time.Second,
	}
)

// Nilegear returns the deployment of Nilegear Computations. A preview server
// has 3 slots, a tenth of 25 rounded up.
func Nilegear() *Deployment {
	return &Deployment{
		name: "nilegear", bottleneck: "preview",
		services: []Service{
			{Name: "profiles", Servers: 4, Slots: 7, Connections: 50, Run: frontRunTime, Paths: []server.Path{
				path("/teeth", pageBody, get("certify", "/materials")),
				path("/stiffness", smallBody, get("certify", "/materials")),
				path("/checks", smallBody, post("certify", "/checks")),
				path("/bundles", bundleBody, get("certify", "/stamps")),
			}},
			{Name: "certify", Servers: 3, Slots: 9, Connections: 60, Run: middleRunTime, Paths: []server.Path{
				path("/materials", smallBody, get("drawings", "/geometry")),
				path("/checks", smallBody, get("drawings", "/geometry")),
				path("/stamps", smallBody, get("drawings", "/files")),
			}},
			{Name: "drawings", Servers: 3, Slots: 9, Connections: 60, Run: middleRunTime, Paths: []server.Path{
				path("/geometry", smallBody, get("preview", "/mesh")),
				path("/files", downloadBody, get("preview", "/mesh")),
			}},
			{Name: "preview", Servers: 3, Slots: 3, Connections: 25, Run: bottleneckRunTime, Paths: []server.Path{
				path("/mesh", smallBody),
			}},
		},
		customers: []load.Customer{
			customer("gearboxes", 65, weighted(profiles, 4), weighted(preview, 4), weighted(certify, 1), weighted(drawings, 1)),
			customer("pumps", 50, weighted(profiles, 4), weighted(preview, 4), weighted(certify, 1), weighted(drawings, 1)),
			customer("labs", 45, weighted(profiles, 5), weighted(preview, 5)),
		},
	}
}
