package deployment

import (
	"net/http"
	"time"

	"github.com/papayapath/papayapath/internal/lab/load"
	"github.com/papayapath/papayapath/internal/lab/server"
	"github.com/papayapath/papayapath/pkg/importance"
)

// Request classes of the Régie. All requests enter at the catalogue service
// and have a call depth of four.
var (
	browse = load.Class{
		Service: "catalogue", Method: http.MethodGet, Path: "/faces",
		Importance: importance.Background, Deadline: 800 * time.Millisecond,
	}
	availability = load.Class{
		Service: "catalogue", Method: http.MethodGet, Path: "/availability",
		Importance: importance.High, Deadline: 800 * time.Millisecond,
	}
	reserve = load.Class{
		Service: "catalogue", Method: http.MethodPost, Path: "/campaigns",
		Importance: importance.Critical, NonRepeatable: true, Deadline: 1500 * time.Millisecond,
	}
	proofs = load.Class{
		Service: "catalogue", Method: http.MethodGet, Path: "/proofs",
		Importance: importance.Normal, Deadline: 2 * time.Second,
	}
)

// Regie returns the deployment of the Régie Publique d'Affichage de Bretagne.
func Regie() *Deployment {
	return &Deployment{
		name: "regie", bottleneck: "calendars",
		services: []Service{
			{Name: "catalogue", Servers: 4, Slots: 20, Connections: 130, Run: frontRunTime, Paths: []server.Path{
				path("/faces", pageBody, get("reservations", "/occupancy")),
				path("/availability", smallBody, get("reservations", "/holds")),
				path("/campaigns", smallBody, post("reservations", "/campaigns")),
				path("/proofs", downloadBody, get("reservations", "/rights")),
			}},
			{Name: "reservations", Servers: 3, Slots: 27, Connections: 170, Run: middleRunTime, Paths: []server.Path{
				path("/occupancy", smallBody, get("proofs", "/thumbnails")),
				path("/holds", smallBody, get("proofs", "/formats")),
				path("/campaigns", smallBody, get("proofs", "/formats")),
				path("/rights", smallBody, get("proofs", "/files")),
			}},
			{Name: "proofs", Servers: 3, Slots: 27, Connections: 170, Run: middleRunTime, Paths: []server.Path{
				path("/thumbnails", pageBody, get("calendars", "/days")),
				path("/formats", smallBody, get("calendars", "/days")),
				path("/files", downloadBody, get("calendars", "/days")),
			}},
			{Name: "calendars", Servers: 3, Slots: 4, Connections: 30, Run: bottleneckRunTime, Paths: []server.Path{
				path("/days", smallBody),
			}},
		},
		customers: []load.Customer{
			customer("communes", 90, weighted(browse, 4), weighted(availability, 3), weighted(reserve, 1), weighted(proofs, 2)),
			customer("festivals", 50, weighted(browse, 4), weighted(availability, 4), weighted(reserve, 1), weighted(proofs, 1)),
			customer("shops", 45, weighted(browse, 5), weighted(proofs, 5)),
			customer("committees", 40, weighted(browse, 4), weighted(availability, 5), weighted(reserve, 1)),
		},
	}
}
