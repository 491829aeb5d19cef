// Package stream names answers in progress, so that a caller can resume one at
// any router, and writes them as server-sent events.
package stream
