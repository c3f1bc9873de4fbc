package process

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"

	"yokestall/internal/ctxtime"
)

// ChangeSettings replaces the main configuration file by one with the next Settings.Version and Settings.Step, and returns once
// they are in force.
func (s *ServeProcess) ChangeSettings(ctx context.Context) error {
	next := s.settings
	next.Version++
	next.Step++
	return s.change(ctx, next)
}

// ChangeRoute replaces the main configuration file by one with the next Settings.Version and Settings.Text, and returns once
// they are in force.
func (s *ServeProcess) ChangeRoute(ctx context.Context) error {
	next := s.settings
	next.Version++
	next.Text++
	return s.change(ctx, next)
}

// change replaces the main configuration file by one with the settings next, and returns once they are in force.
func (s *ServeProcess) change(ctx context.Context, next Settings) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := s.replace(programFile, s.Generator.Program(next)); err != nil {
		return err
	}
	if err := s.awaitAccepted(ctx); err != nil {
		return err
	}
	s.settings = next
	return s.awaitResponse(ctx, "/version", VersionText(next))
}

// ChangeList replaces the cluster file of a service by one whose first server has a weight that depends on change, and returns
// once the process has accepted it.
func (s *ServeProcess) ChangeList(ctx context.Context, service, change int) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := s.replace(clusterFile(service), s.Generator.Cluster(service, change)); err != nil {
		return err
	}
	return s.awaitAccepted(ctx)
}

// replace replaces the file with this name, relative to the process's folder, atomically. It writes the new file outside the
// folders that the program watches, so that the program gets one file event for each change.
func (s *ServeProcess) replace(name string, text []byte) error {
	written := filepath.Join(s.dir, "next")
	if err := os.WriteFile(written, text, 0o600); err != nil {
		return err
	}
	return os.Rename(written, filepath.Join(s.process.Dir, name))
}

// awaitAccepted waits until the process logs the number of the next version of its files. The process logs it before the
// version is in force.
func (s *ServeProcess) awaitAccepted(ctx context.Context) error {
	want := []byte(fmt.Sprintf("version=%d ", s.acceptedVersions+1))
	for {
		text, err := s.newLogLines()
		if err != nil {
			return err
		}
		if bytes.Contains(text, []byte("are not taken")) {
			return fmt.Errorf("process rejected the changed files: %s", text)
		}
		if bytes.Contains(text, want) {
			s.acceptedVersions++
			return nil
		}
		if err := ctxtime.Sleep(ctx, logPollInterval); err != nil {
			return fmt.Errorf("process has not logged version %d of its files: %w", s.acceptedVersions+1, err)
		}
	}
}

// newLogLines returns the complete lines that the process has logged since the previous call.
func (s *ServeProcess) newLogLines() ([]byte, error) {
	f, err := os.Open(s.process.Log)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.NewSectionReader(f, s.logOffset, maxLogBytes))
	text = text[:bytes.LastIndexByte(text, '\n')+1]
	s.logOffset += int64(len(text))
	return text, err
}

// awaitResponse sends requests for path to the version host until the response body is want.
func (s *ServeProcess) awaitResponse(ctx context.Context, path, want string) error {
	for {
		text, err := s.get(ctx, path)
		if err == nil && text == want {
			return nil
		}
		if sleepErr := ctxtime.Sleep(ctx, versionPollInterval); sleepErr != nil {
			return errors.Join(fmt.Errorf("path %s of the version host: response %q, want %q", path, text, want), err, sleepErr)
		}
	}
}

// get requests path from the version host, and returns the response body without surrounding white space.
func (s *ServeProcess) get(ctx context.Context, path string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+VersionHost+path, nil)
	if err != nil {
		return "", err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(bytes.TrimSpace(text)), err
}
