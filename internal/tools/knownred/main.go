// Command knownred runs all tests and passes over just the failures that
// KNOWN-RED.txt names.
//
// Tests run with the race detector, but for the packages in withoutRace.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// event is one line of go test -json.
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
	known, err := readKnown("KNOWN-RED.txt")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	results, err := runTests()
	if err != nil {
		fmt.Println(err)
	}
	return judge(results, known, err != nil)
}

// readKnown returns the tests that the file names: the first word of each line
// that is neither empty nor a comment, as package.Test.
func readKnown(path string) (map[string]string, error) {
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

// results are the outcomes of all tests by package.Test; a package's own
// failure without a failed test is under the package's name.
type results struct {
	passed, skipped int
	failed          []string
	output          map[string]*strings.Builder
}

var (
	// withoutRace are the packages of long computations in one goroutine, in
	// which the race detector has nothing to find.
	withoutRace = []string{"./internal/routebench"}
	// alone are the packages that start many processes. They run after the
	// others, so that a busy machine does not look like a lost router.
	alone = []string{"./cmd/cardamompoint", "./internal/soak"}
)

func runTests() (*results, error) {
	collected := &results{output: map[string]*strings.Builder{}}
	others, err := otherPackages()
	if err != nil {
		return collected, err
	}
	return collected, errors.Join(
		collected.run(withoutRace),
		collected.run(append([]string{"-race"}, others...)),
		collected.run(append([]string{"-race", "-p=1"}, alone...)),
	)
}

// otherPackages returns the packages that are neither in withoutRace nor in
// alone.
func otherPackages() ([]string, error) {
	listed, err := exec.Command("go", "list", "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	named := slices.Concat(withoutRace, alone)
	return slices.DeleteFunc(strings.Fields(string(listed)), func(name string) bool {
		return slices.ContainsFunc(named, func(path string) bool {
			return strings.HasSuffix(name, strings.TrimPrefix(path, "."))
		})
	}), nil
}

// run runs go test with args and takes in its results.
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

func (r *results) collect(pipe io.Reader) error {
	scanner := bufio.NewScanner(pipe)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			fmt.Println(scanner.Text())
			continue
		}
		r.take(e)
	}
	return scanner.Err()
}

func (r *results) take(e event) {
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

// maxPrinted is how much of a failed test's output is printed, in bytes.
const maxPrinted = 20000

// cut returns the end of a test's output.
func cut(output *strings.Builder) string {
	if output == nil {
		return ""
	}
	text := output.String()
	return text[max(0, len(text)-maxPrinted):]
}

// judge prints the failures and returns the exit code.
func judge(r *results, known map[string]string, broken bool) int {
	unknown := 0
	var passedOver []string
	for _, name := range r.failed {
		if isKnown(name, r.failed, known) {
			passedOver = append(passedOver, name)
			continue
		}
		unknown++
		fmt.Printf("--- FAIL: %s\n%s\n", name, cut(r.output[name]))
	}
	for _, name := range passedOver {
		if line, ok := known[name]; ok {
			fmt.Println("known red:", line)
		}
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, len(r.failed), r.skipped)
	if unknown > 0 || (broken && len(passedOver) == 0) {
		return 1
	}
	return 0
}

// isKnown reports whether a failure is a known one: a test that is named, the
// parent of one, or a package in which all failed tests are known.
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
