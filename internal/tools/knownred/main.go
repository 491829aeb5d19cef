// Command knownred runs all tests and ignores only the failures that are listed
// in KNOWN-RED.txt.
//
// Tests run with the race detector, except those of the packages in withoutRace.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
)

// event is one line of the output of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

func main() {
	os.Exit(run())
}

func run() int {
	known, err := readKnownFailures("KNOWN-RED.txt")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	results, err := runTests()
	if err != nil {
		fmt.Println(err)
	}
	return reportFailures(results, known, err != nil)
}

// readKnownFailures returns the lines of the file by test name, which is the
// first word of each line, as package.Test. Empty lines and comments are skipped.
func readKnownFailures(path string) (map[string]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	known := map[string]string{}
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ := strings.Cut(line, " ")
		known[name] = line
	}
	return known, scanner.Err()
}

// results holds the results of all tests. Names are of the form package.Test; the
// result of a package as a whole has the package's name.
type results struct {
	passed, skipped int
	failed          []string
	output          map[string]*strings.Builder
}

var (
	// withoutRace are the packages with long single-threaded computations, in which
	// the race detector can't find anything.
	withoutRace = []string{"./internal/routebench", "./gateway/quarantine", "./gateway/limit"}
	// serial are the packages that start many processes. They run one at a time
	// after the others, since on a busy host a slow router looks like a lost one.
	serial = []string{"./cmd/cardamompoint", "./internal/soak"}
	// crashingRace are arguments for tests that leave out a part with the race detector on
	// arm64, since the detector itself crashes there. They are run without it as well.
	crashingRace = []string{"-run=TestFleetKeepsItsBoundsInRandomSeries", "./gateway/knowledge"}
)

func runTests() (*results, error) {
	collected := &results{output: map[string]*strings.Builder{}}
	others, err := parallelPackages()
	if err != nil {
		return collected, err
	}
	return collected, errors.Join(
		collected.runCrashingRace(),
		collected.run(withoutRace),
		collected.run(append([]string{"-race"}, others...)),
		collected.run(append([]string{"-race", "-p=1"}, serial...)),
	)
}

// runCrashingRace runs the tests of crashingRace on arm64.
func (r *results) runCrashingRace() error {
	if runtime.GOARCH != "arm64" {
		return nil
	}
	return r.run(crashingRace)
}

// parallelPackages returns the packages that are neither in withoutRace nor in
// serial.
func parallelPackages() ([]string, error) {
	listed, err := exec.Command("go", "list", "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	named := slices.Concat(withoutRace, serial)
	return slices.DeleteFunc(strings.Fields(string(listed)), func(name string) bool {
		return slices.ContainsFunc(named, func(path string) bool {
			return strings.HasSuffix(name, strings.TrimPrefix(path, "."))
		})
	}), nil
}

// run runs go test with args and records its results.
func (r *results) run(args []string) error {
	command := exec.Command("go", append([]string{"test", "-json", "-count=1", "-timeout=20m"}, args...)...)
	command.Stderr = os.Stderr
	pipe, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	readErr := r.collect(pipe)
	if err := command.Wait(); err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	return readErr
}

const maxLineBytes = 16 << 20

// collect records the events that it reads from pipe and prints lines that are
// not events.
func (r *results) collect(pipe io.Reader) error {
	scanner := bufio.NewScanner(pipe)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			fmt.Println(scanner.Text())
			continue
		}
		r.record(e)
	}
	return scanner.Err()
}

// record records one event and prints the summary lines of packages.
func (r *results) record(e event) {
	name := e.Package
	if e.Test != "" {
		name += "." + e.Test
	}
	switch e.Action {
	case "output":
		r.addOutput(name, e.Output)
		if e.Test == "" && (strings.HasPrefix(e.Output, "ok") || strings.HasPrefix(e.Output, "FAIL\t")) {
			fmt.Print(e.Output)
		}
	case "fail":
		r.failed = append(r.failed, name)
	case "pass":
		if e.Test != "" {
			r.passed++
		}
	case "skip":
		if e.Test != "" {
			r.skipped++
		}
	}
}

func (r *results) addOutput(name, text string) {
	if r.output[name] == nil {
		r.output[name] = &strings.Builder{}
	}
	r.output[name].WriteString(text)
}

// maxPrintedBytes is the maximum length of a failed test's printed output.
const maxPrintedBytes = 20000

// outputTail returns the last maxPrintedBytes of a test's output.
func outputTail(output *strings.Builder) string {
	if output == nil {
		return ""
	}
	text := output.String()
	return text[max(0, len(text)-maxPrintedBytes):]
}

// reportFailures prints the unexpected failures, the known ones and the totals,
// and returns the exit code. runFailed reports whether a run of go test failed.
func reportFailures(r *results, known map[string]string, runFailed bool) int {
	unexpected := 0
	var knownFailures []string
	for _, name := range r.failed {
		if isKnown(name, r.failed, known) {
			knownFailures = append(knownFailures, name)
			continue
		}
		unexpected++
		fmt.Printf("--- FAIL: %s\n%s\n", name, outputTail(r.output[name]))
	}
	for _, name := range knownFailures {
		if line, ok := known[name]; ok {
			fmt.Println("known red:", line)
		}
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, len(r.failed), r.skipped)
	if unexpected > 0 || (runFailed && len(knownFailures) == 0) {
		return 1
	}
	return 0
}

// isKnown reports whether a failure is known: the test is listed, or it is the
// parent of failed tests, or the package of failed tests, that are all known.
func isKnown(name string, failed []string, known map[string]string) bool {
	if _, ok := known[name]; ok {
		return true
	}
	prefix := name + "."
	if strings.Contains(name[strings.LastIndex(name, "/")+1:], ".") {
		prefix = name + "/"
	}
	children := slices.DeleteFunc(slices.Clone(failed), func(other string) bool {
		return !strings.HasPrefix(other, prefix)
	})
	if len(children) == 0 {
		return false
	}
	for _, child := range children {
		if !isKnown(child, failed, known) {
			return false
		}
	}
	return true
}
