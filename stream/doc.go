// Package stream reads and writes answers as server-sent events, and defines the sealed
// IDs by which a caller can resume an answer at any router.
package stream
