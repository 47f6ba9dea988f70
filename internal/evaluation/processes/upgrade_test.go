package processes

import (
	"archive/tar"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// earlierBuilds are the commits from whose builds a fleet is upgraded.
var earlierBuilds = map[string]string{
	"the last landing":   "555de8f",
	"the landing before": "f7c3a90",
	"the one before":     "61f27c1",
	"an early one":       "818f71e",
}

// mixedKey is a key that is added while instances of two builds run.
const mixedKey = "mixed-key"

// buildEarlier builds the program of a commit of this repository and returns its name. It
// fails the test if the history does not have the commit.
func buildEarlier(t *testing.T, commit string) string {
	t.Helper()
	is := is.New(t)
	archive := exec.Command("git", "archive", "--format=tar", commit, "cmd", "internal", "platform", "examples", "go.mod", "go.sum")
	archive.Dir = filepath.Join("..", "..", "..")
	var message bytes.Buffer
	archive.Stderr = &message
	sources, err := archive.Output()
	if err != nil {
		t.Fatalf("the sources of %s are needed: %v %s", commit, err, message.String())
	}
	directory := t.TempDir()
	is.NoErr(extract(directory, sources))
	program := "mimosayard-" + commit
	build := exec.Command("go", "build", "-o", filepath.Join(binaryDirectory, program), "./cmd/mimosayard")
	build.Dir = directory
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build %s: %v\n%s", commit, err, output)
	}
	return program
}

// extract writes the files of a tar archive to a directory.
func extract(directory string, archive []byte) error {
	reader := tar.NewReader(bytes.NewReader(archive))
	for {
		header, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if header.Typeflag != tar.TypeReg || !filepath.IsLocal(header.Name) {
			continue
		}
		file := filepath.Join(directory, header.Name)
		if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
			return err
		}
		data, err := io.ReadAll(reader)
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, data, 0o600); err != nil {
			return err
		}
	}
}

// replace stops an instance and starts it with another program, while its callers go on.
func (f *sharedFleet) replace(index int, program string, results *outcomes) {
	f.t.Helper()
	is := is.New(f.t)
	is.Equal(f.instances[index].stop(), 0)
	f.program = program
	f.instances[index] = f.startSharedInstance(index, false)
	servedBefore := results.served.Load()
	f.await(fmt.Sprintf("router %d serves as %s", index, program), func() bool { return results.served.Load() > servedBefore+20 })
	f.awaitPeers()
}

// awaitPeers waits until each instance knows all others.
func (f *sharedFleet) awaitPeers() {
	f.t.Helper()
	for n := range f.instances {
		f.await(fmt.Sprintf("router %d knows all others", n), func() bool {
			var status struct {
				Peers int `json:"peers"`
			}
			return f.getJSON("http://"+f.address(n, 8081)+"/status", &status) && status.Peers == len(f.instances)
		})
	}
}

// TestUpgradeBesideAnEarlierBuild guards against an upgrade, or the way back from it, in which
// requests are cut, run twice or are falsely reported as not run, instances of the two builds
// do not find each other, or one does not follow the configuration or what the other has
// stored.
func TestUpgradeBesideAnEarlierBuild(t *testing.T) {
	t.Parallel()
	for name, commit := range earlierBuilds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			earlier := buildEarlier(t, commit)
			f := newSharedFleetOf(t, earlier, 3, 3)
			f.upgradeUnderLoad(earlier)
			f.restartMixed(earlier)
			f.followPeers(earlier)
		})
	}
}

// upgradeUnderLoad replaces the instances of an earlier build by the present one, with one step
// back, while callers send requests to each and the configuration changes.
func (f *sharedFleet) upgradeUnderLoad(earlier string) {
	f.t.Helper()
	const callersPerInstance = 2
	is := is.New(f.t)
	results, stop := f.startCallers(callersPerInstance)
	f.replace(0, present, results[0])
	f.putConfiguration(validKey, mixedKey)
	for n := range f.instances {
		f.await(fmt.Sprintf("router %d follows the configuration", n), func() bool {
			return f.callStatus(n, "GET", "/safe/x", revocableKey) == http.StatusUnauthorized &&
				f.callStatus(n, "GET", "/safe/x", mixedKey) == http.StatusOK
		})
	}
	f.replace(1, present, results[1])
	f.replace(0, earlier, results[0])
	f.replace(2, present, results[2])
	is.NoErr(stop())
	f.assertExecutions(results)
}

// followPeers starts an instance of one build that cannot reach the store among those of the
// other, both ways. It has only its peers to follow the configuration.
func (f *sharedFleet) followPeers(earlier string) {
	f.t.Helper()
	const last = 2
	for round, programs := range [][2]string{{earlier, present}, {present, earlier}} {
		for n := range f.instances {
			f.instances[n].kill()
			f.program = programs[0]
			if n == last {
				f.program = programs[1]
			}
			f.instances[n] = f.startSharedInstance(n, n == last)
		}
		f.awaitPeers()
		for step := range 3 {
			key := fmt.Sprintf("key-%d-%d", round, step)
			f.putConfiguration(validKey, mixedKey, key)
			f.await(fmt.Sprintf("%s follows %s", programs[1], programs[0]), func() bool {
				return f.callStatus(last, "GET", "/safe/x", key) == http.StatusOK
			})
		}
	}
}

// restartMixed kills all instances at once and starts two of the present and one of the earlier
// build from what the others have stored.
func (f *sharedFleet) restartMixed(earlier string) {
	f.t.Helper()
	for _, i := range f.instances {
		i.kill()
	}
	for n, program := range []string{present, present, earlier} {
		f.program = program
		f.instances[n] = f.startSharedInstance(n, false)
	}
	for n := range f.instances {
		f.await(fmt.Sprintf("router %d serves again", n), func() bool { return f.callStatus(n, "GET", "/safe/x", mixedKey) == http.StatusOK })
		is.New(f.t).Equal(f.callStatus(n, "GET", "/safe/x", revocableKey), http.StatusUnauthorized)
	}
	f.awaitPeers()
}
