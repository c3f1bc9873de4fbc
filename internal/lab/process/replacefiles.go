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

	"yokestall/internal/lab/ctxtime"
)

// ChangeSettings replaces the program's file by one with other settings, and returns once they are in force.
func (s *ServeProcess) ChangeSettings(ctx context.Context) error {
	next := s.settings
	next.Version++
	next.Step++
	return s.change(ctx, next)
}

// ChangeRoute replaces the program's file by one in which a route answers another text, and returns once that is
// in force.
func (s *ServeProcess) ChangeRoute(ctx context.Context) error {
	next := s.settings
	next.Version++
	next.Text++
	return s.change(ctx, next)
}

// change replaces the program's file by one with these settings, and returns once they are in force.
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

// ChangeList replaces one cluster's file by one whose first server has another weight, and returns once the
// process has accepted it.
func (s *ServeProcess) ChangeList(ctx context.Context, service, change int) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := s.replace(clusterFile(service), s.Generator.Cluster(service, change)); err != nil {
		return err
	}
	return s.awaitAccepted(ctx)
}

// replace replaces a file atomically. The new file is written outside the folders that the program watches, so that one
// change is one event there.
func (s *ServeProcess) replace(name string, text []byte) error {
	written := filepath.Join(s.dir, "next")
	if err := os.WriteFile(written, text, 0o600); err != nil {
		return err
	}
	return os.Rename(written, filepath.Join(s.process.Dir, name))
}

// awaitAccepted waits until the process logs the next version of its files, which it does before the version is in
// force.
func (s *ServeProcess) awaitAccepted(ctx context.Context) error {
	want := []byte(fmt.Sprintf("version=%d ", s.acceptedVersions+1))
	for {
		text, err := s.newLogLines()
		if err != nil {
			return err
		}
		if bytes.Contains(text, []byte("are not taken")) {
			return fmt.Errorf("a change is refused: %s", text)
		}
		if bytes.Contains(text, want) {
			s.acceptedVersions++
			return nil
		}
		if err := ctxtime.Sleep(ctx, logPollInterval); err != nil {
			return fmt.Errorf("version %d of the files: %w", s.acceptedVersions+1, err)
		}
	}
}

// newLogLines returns the complete lines that the process has logged since the last call.
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

// awaitResponse polls the version host until its answer is want.
func (s *ServeProcess) awaitResponse(ctx context.Context, path, want string) error {
	for {
		text, err := s.get(ctx, path)
		if err == nil && text == want {
			return nil
		}
		if sleepErr := ctxtime.Sleep(ctx, versionPollInterval); sleepErr != nil {
			return errors.Join(fmt.Errorf("%s answers %q, not %q", path, text, want), err, sleepErr)
		}
	}
}

// get returns the version host's answer.
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
