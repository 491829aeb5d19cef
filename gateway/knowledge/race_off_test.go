//go:build !race

package knowledge

// raceDetector reports whether the tests run with the race detector.
const raceDetector = false
