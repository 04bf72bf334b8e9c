package trial

import (
	"io/fs"
	"path"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/examples"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

// Shape describes the size and the delays of a deployment.
type Shape struct {
	Name        string
	Domains     []string
	DomainDelay time.Duration // one way, between failure domains
	ClientDelay time.Duration // one way, between callers and entry hosts
	ConnCostMS  float64       // of opening a connection to a backend server
	ProbeMS     float64       // of one health probe
	ServiceMS   float64       // of one request at a backend server
	Hosts       int           // entry hosts
	// Services are the services that get the sample load. The first one is keyed.
	Services []ServiceLoad
}

// ServiceLoad is the sample load of one service.
type ServiceLoad struct {
	Service string
	// Keyed services take lookups and orders, the others lookups, orders and uploads.
	Keyed      bool
	UploadPath string // below the service's path prefix; empty means no uploads
}

// ShapeOf returns the shape of a deployment: arrieta or hollister.
func ShapeOf(name string) (Shape, error) {
	switch name {
	case "arrieta":
		return Shape{
			Name:        name,
			Domains:     []string{"bilbao", "santander", "oviedo"},
			DomainDelay: 4 * time.Millisecond,
			ClientDelay: time.Millisecond,
			ConnCostMS:  1,
			ProbeMS:     6,
			ServiceMS:   2,
			Hosts:       8,
			Services: []ServiceLoad{
				{Service: "inventario", Keyed: true},
				{Service: "compras-inspeccion", UploadPath: "/scans"},
			},
		}, nil
	case "hollister":
		return Shape{
			Name:        name,
			Domains:     []string{"amarillo", "dalhart", "hereford", "pampa"},
			DomainDelay: 5 * time.Millisecond,
			ClientDelay: 3 * time.Millisecond,
			ConnCostMS:  1,
			ProbeMS:     1,
			ServiceMS:   2,
			Hosts:       8,
			Services: []ServiceLoad{
				{Service: "grower-portal", Keyed: true},
				{Service: "mill-scheduler", UploadPath: "/tickets"},
			},
		}, nil
	default:
		return Shape{}, fault.Newf(fault.BadSettings, "deployment %q; allowed: arrieta, hollister", name)
	}
}

// documents returns the deployment's profiles and services as its operators wrote them.
func (s Shape) documents() (profiles []profile.Profile, services []profile.Service, err error) {
	paths, err := fs.Glob(examples.Profiles, path.Join(s.Name, "profiles", "*.yaml"))
	if err != nil {
		return nil, nil, err
	}
	for _, p := range paths {
		data, err := examples.Profiles.ReadFile(p)
		if err != nil {
			return nil, nil, err
		}
		docs, err := profile.Parse(data)
		if err != nil {
			return nil, nil, err
		}
		for _, d := range docs {
			if d.Kind == profile.ProfileDocument {
				profiles = append(profiles, *d.Profile)
			} else {
				services = append(services, *d.Service)
			}
		}
	}
	return profiles, services, nil
}
