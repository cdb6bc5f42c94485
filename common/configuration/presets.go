package configuration

// Presets holds all presets and the name of the active one.
type Presets struct {
	Active string
	All    []Preset
}

// InForce returns the active preset, and false if no preset has that name.
func (p *Presets) InForce() (Preset, bool) {
	for _, c := range p.All {
		if c.Name == p.Active {
			return c, true
		}
	}
	return Preset{}, false
}
