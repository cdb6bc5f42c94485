package configuration

// Presets holds all presets and names the one in force.
type Presets struct {
	Active string
	All    []Preset
}

// InForce returns the active preset.
func (p *Presets) InForce() (Preset, bool) {
	for _, c := range p.All {
		if c.Name == p.Active {
			return c, true
		}
	}
	return Preset{}, false
}
