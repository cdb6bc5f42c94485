package configuration

// Presets holds all presets and the name of the active one.
type Presets struct {
	Active string
	Items  []Preset
}

// ActivePreset returns the active preset, and false if no preset has that name.
func (p *Presets) ActivePreset() (Preset, bool) {
	for _, c := range p.Items {
		if c.Name == p.Active {
			return c, true
		}
	}
	return Preset{}, false
}
