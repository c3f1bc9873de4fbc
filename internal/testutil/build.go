package testutil

import (
	"archive/tar"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// FormerCommit is the commit of this repository whose programs must work together with the present programs. It is the last
// commit before the identifiers of stored and transmitted types were renamed.
const FormerCommit = "6b4008b69baaa1175dedf420050aaa573edc3ee6"

// formerSources has the files and folders of the repository that the build of a program needs.
var formerSources = []string{"go.mod", "go.sum", "cmd", "deploy", "internal", "policy"}

// BuildFormer builds a program of FormerCommit, for example "cmd/yokestall", and returns the path of the executable, which is
// removed when the test ends. The sources come from the Git repository that the test runs in. The test fails if the repository
// doesn't have the commit. A test that needs a program several times should build it once and use subtests.
func BuildFormer(t testing.TB, program string) string {
	t.Helper()
	root, err := output("", "git", "rev-parse", "--show-toplevel")
	if err != nil {
		t.Fatalf("finding the Git repository, which has the sources of the former program: %v", err)
	}
	top := strings.TrimSpace(string(root))
	if _, err := output(top, "git", "rev-parse", "--verify", FormerCommit+"^{commit}"); err != nil {
		t.Fatalf("commit %s, whose programs must work together with the present ones, is not in this clone "+
			"(git fetch --unshallow completes a shallow clone): %v", FormerCommit, err)
	}
	archive, err := output(top, "git", append([]string{"archive", "--format=tar", FormerCommit}, formerSources...)...)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	sources, executable := filepath.Join(dir, "sources"), filepath.Join(dir, filepath.Base(program))
	if err := extract(archive, sources); err != nil {
		t.Fatalf("extracting the archive of commit %s: %v", FormerCommit, err)
	}
	// With -trimpath the build uses the packages in the build cache from earlier runs, which had other folders.
	build := []string{"build", "-trimpath", "-buildvcs=false", "-o", executable, "./" + program}
	if _, err := output(sources, "go", build...); err != nil {
		t.Fatalf("building %s at commit %s: %v", program, FormerCommit, err)
	}
	return executable
}

// BuildProgram builds a program of this repository without the race detector, for example "cmd/yokestall", and returns the path
// of the executable, which is removed when the test ends. A test needs it for more load than a program with the race detector
// carries on its cores in time. The program's ways with less load are tested with SelfCommand.
func BuildProgram(t testing.TB, program string) string {
	t.Helper()
	root, err := output("", "go", "list", "-m", "-f", "{{.Dir}}")
	if err != nil {
		t.Fatal(err)
	}
	executable := filepath.Join(t.TempDir(), filepath.Base(program))
	if _, err := output(strings.TrimSpace(string(root)), "go", "build", "-o", executable, "./"+program); err != nil {
		t.Fatalf("building %s: %v", program, err)
	}
	return executable
}

// output runs a command in a folder and returns its standard output. If the command fails, the error contains its standard
// error.
func output(dir, name string, args ...string) ([]byte, error) {
	command := exec.Command(name, args...)
	command.Dir = dir
	text, err := command.Output()
	if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
		return nil, fmt.Errorf("%s %s: %w: %s", name, args[0], err, bytes.TrimSpace(exit.Stderr))
	}
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", name, args[0], err)
	}
	return text, nil
}

// extract writes the folders and regular files of a tar archive below dir.
func extract(archive []byte, dir string) error {
	files := tar.NewReader(bytes.NewReader(archive))
	for {
		header, err := files.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if !filepath.IsLocal(header.Name) {
			return fmt.Errorf("archive contains %q, a path that leads out of the folder", header.Name)
		}
		path := filepath.Join(dir, header.Name)
		switch header.Typeflag {
		case tar.TypeDir:
			err = os.MkdirAll(path, 0o755)
		case tar.TypeReg:
			err = extractFile(files, path)
		}
		if err != nil {
			return err
		}
	}
}

// extractFile writes content to the file at path, and creates the folders above it.
func extractFile(content io.Reader, path string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	text, err := io.ReadAll(content)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}
