package gossip

import "cardamompoint.example/cardamompoint/code"

// MaxPartLocations bounds the part locations that a VM sends to one that has just
// started.
const MaxPartLocations = 8192

// PackPartLocations encodes at most MaxPartLocations part locations in the compact
// encoding of reports: VMs of a fleet that restarts send each other millions of them.
func PackPartLocations(locations []PartLocation) []byte {
	w := &wireWriter{names: map[string]uint64{}}
	w.datagram = append(w.datagram, reportFormat)
	w.partLocations(locations[:min(len(locations), MaxPartLocations)])
	return w.datagram
}

// UnpackPartLocations decodes the result of PackPartLocations. Errors carry
// code.InvalidDocument.
func UnpackPartLocations(raw []byte) ([]PartLocation, error) {
	if len(raw) == 0 || raw[0] != reportFormat {
		return nil, code.New(code.InvalidDocument, "unsupported format of part locations")
	}
	r := &wireReader{rest: raw[1:], interned: map[string]string{}}
	locations := r.partLocations(MaxPartLocations)
	if err := r.end(); err != nil {
		return nil, err
	}
	return locations, nil
}

func (w *wireWriter) partLocations(locations []PartLocation) {
	w.count(len(locations))
	for _, location := range locations {
		w.hash(location.Hash)
		w.name(location.Endpoint)
	}
}

// partLocations reads at most limit part locations.
func (r *wireReader) partLocations(limit int) []PartLocation {
	locations := makeSlice[PartLocation](r.entryCount(limit))
	for i := range locations {
		locations[i] = PartLocation{Hash: r.hash(), Endpoint: r.name()}
	}
	return locations
}
