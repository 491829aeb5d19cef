// Package stand3 has the stand-ins and the cases of the third independent review. They are test files, which review/build-3.sh
// builds into a program; go test plays no case.
package stand3
