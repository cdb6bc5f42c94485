package partition

import (
	"context"
)

const (
	// Centres is the number of data centres that the cases need.
	Centres = 3
	// All names all cases together.
	All = "cuts"
)

// Case is a cut and the keys that are looked up during it.
type Case struct {
	Name string
	// choose picks the VMs concerned and the keys that are looked up.
	choose func(ctx context.Context, s *scene) error
	cut    func(s *scene)
	// silent says that open connections must have gone silent.
	silent bool
}

// Cases returns all cases.
func Cases() []Case {
	return []Case{
		{Name: "centre-cut", choose: chooseCentre(false), cut: func(s *scene) {
			s.cut(s.inside, s.outside)
			s.cutPlatform(s.inside)
		}},
		{Name: "entry-cut", choose: chooseController, cut: func(s *scene) {
			s.cut(s.inside, s.outside)
			s.cutPlatform(s.inside)
		}},
		{Name: "platform-cut", choose: chooseCentre(true), cut: func(s *scene) { s.cutPlatform(s.inside) }},
		{Name: "silent-peers", choose: choosePeers, silent: true, cut: func(s *scene) { s.silence() }},
	}
}

// Known reports whether there is a case with the name.
func Known(name string) bool {
	for _, c := range Cases() {
		if c.Name == name {
			return true
		}
	}
	return name == All
}
