package news

import "cardamompoint.example/cardamompoint/code"

// MostPlaces bounds the places that one VM tells another at its start.
const MaxPartLocations = 8192

// PackPlaces packs places in the binary form of reports: a fleet that starts anew tells
// millions of them. It packs at most MostPlaces.
func PackPartLocations(places []PartLocation) []byte {
	w := &wireWriter{names: map[string]uint64{}}
	w.datagram = append(w.datagram, format)
	w.places(places[:min(len(places), MaxPartLocations)])
	return w.datagram
}

// UnpackPlaces returns packed places. Errors carry code.InvalidDocument.
func UnpackPartLocations(raw []byte) ([]PartLocation, error) {
	if len(raw) == 0 || raw[0] != format {
		return nil, code.New(code.InvalidDocument, "places have another format")
	}
	r := &wireReader{rest: raw[1:], interned: map[string]string{}}
	places := r.places(MaxPartLocations)
	if err := r.end(); err != nil {
		return nil, err
	}
	return places, nil
}

func (w *wireWriter) places(places []PartLocation) {
	w.count(len(places))
	for _, at := range places {
		w.hash(at.Hash)
		w.name(at.Endpoint)
	}
}

// places reads places, at most limit.
func (r *wireReader) places(limit int) []PartLocation {
	places := makeList[PartLocation](r.entries(limit))
	for i := range places {
		places[i] = PartLocation{Hash: r.hash(), Endpoint: r.name()}
	}
	return places
}
