package gossip

// writeList writes the number of entries and each of them.
func writeList[T any](w *wireWriter, entries []T, write func(*wireWriter, *T)) {
	w.count(len(entries))
	for i := range entries {
		write(w, &entries[i])
	}
}

// readList reads what writeList wrote, nil if there is no entry. More entries than limit end the
// decoding with an error.
func readList[T any](r *wireReader, limit int, read func(*wireReader, *T)) []T {
	entries := makeSlice[T](r.entryCount(limit))
	for i := range entries {
		read(r, &entries[i])
	}
	return entries
}
