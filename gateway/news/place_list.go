package news

import "cardamompoint.example/cardamompoint/code"

// MostPlaces bounds the places that one VM tells another at its start.
const MostPlaces = 8192

// PackPlaces packs places in the binary form of reports: a fleet that starts anew tells
// millions of them. It packs at most MostPlaces.
func PackPlaces(places []PartPlace) []byte {
	w := &wireWriter{names: map[string]uint64{}}
	w.datagram = append(w.datagram, format)
	w.places(places[:min(len(places), MostPlaces)])
	return w.datagram
}

// UnpackPlaces returns packed places. Errors carry code.InvalidDocument.
func UnpackPlaces(raw []byte) ([]PartPlace, error) {
	if len(raw) == 0 || raw[0] != format {
		return nil, code.New(code.InvalidDocument, "places have another format")
	}
	r := &wireReader{rest: raw[1:], interned: map[string]string{}}
	places := r.places(MostPlaces)
	if err := r.end(); err != nil {
		return nil, err
	}
	return places, nil
}

func (w *wireWriter) places(places []PartPlace) {
	w.count(len(places))
	for _, at := range places {
		w.hash(at.Part)
		w.name(at.Endpoint)
	}
}

// places reads places, at most limit.
func (r *wireReader) places(limit int) []PartPlace {
	places := makeList[PartPlace](r.entries(limit))
	for i := range places {
		places[i] = PartPlace{Part: r.hash(), Endpoint: r.name()}
	}
	return places
}
