// Package deployment describes the two organisations that run bramleystand, as far
// as workloads and test fleets depend on them: their data centres, their services
// and the requests of their callers.
//
// # Usage
//
//	d, err := deployment.Parse("kerala")
//	for _, s := range d.Services {
//		fmt.Println(s.Name, s.Upstreams)
//	}
package deployment

import (
	"fmt"

	"bramleystand.org/common/rank"
)

// Deployment is one organisation's installation.
type Deployment struct {
	Name        string
	Region      string
	DataCentres []string
	Services    []Service
	// RankPercent is the percentage of requests of each rank on an ordinary day.
	RankPercent [rank.Count]int
	// ZipfExponent is the Zipf exponent of the keys on an ordinary day. It must exceed 1.
	ZipfExponent float64
}

// Parse returns the deployment with the given name.
func Parse(name string) (Deployment, error) {
	for _, d := range All() {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, fmt.Errorf("deployment: %q is unknown, allowed are chikushi and kerala", name)
}

// All returns both deployments.
func All() []Deployment {
	return []Deployment{
		{
			Name:        "chikushi",
			Region:      "kyushu-north",
			DataCentres: []string{"fukuoka-a", "kitakyushu-b", "kurume-c", "saga-d"},
			Services: []Service{
				{Name: "placement-registry", Keys: 20000, Prefix: "child", Upstreams: 30, Slots: 6, Connections: 120},
				{Name: "dossier-intake", Keys: 8000, Prefix: "dossier", Upstreams: 8, Slots: 6, Connections: 120},
			},
			RankPercent:  [rank.Count]int{20, 62, 18},
			ZipfExponent: 1.05,
		},
		{
			Name:        "kerala",
			Region:      "kerala-south",
			DataCentres: []string{"tvm", "klm", "alp"},
			Services: []Service{
				{Name: "seat-desk", Keys: 12000, Prefix: "seat", Upstreams: 25, Slots: 4, Connections: 110},
				{Name: "log-store", Keys: 4000, Prefix: "log", Upstreams: 6, Slots: 4, Connections: 110},
			},
			RankPercent:  [rank.Count]int{10, 75, 15},
			ZipfExponent: 1.1,
		},
	}
}
