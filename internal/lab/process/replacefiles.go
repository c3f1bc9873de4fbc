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

// ChangeSettings replaces the program's file by one with other settings, and returns when they are in force.
func (s *ServeProcess) ChangeSettings(ctx context.Context) error {
	next := s.settings
	next.Version++
	next.Step++
	return s.change(ctx, next)
}

// ChangeRoute replaces the program's file by one in which a route answers another text, and returns when it does.
func (s *ServeProcess) ChangeRoute(ctx context.Context) error {
	next := s.settings
	next.Version++
	next.Text++
	return s.change(ctx, next)
}

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

// ChangeList replaces one cluster's file by one whose first server has another weight, and returns when the process
// has taken it.
func (s *ServeProcess) ChangeList(ctx context.Context, service, change int) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := s.replace(clusterFile(service), s.Generator.Cluster(service, change)); err != nil {
		return err
	}
	return s.awaitAccepted(ctx)
}

// replace puts a new file in the place of an old one at once. It is written outside of the folders that the program
// watches, so that one change is one event there.
func (s *ServeProcess) replace(name string, text []byte) error {
	written := filepath.Join(s.dir, "next")
	if err := os.WriteFile(written, text, 0o600); err != nil {
		return err
	}
	return os.Rename(written, filepath.Join(s.process.Dir, name))
}

// awaitAccepted waits until the process logs the next version of its files. It has not put it in force yet then.
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

// newLogLines gives the whole lines that the process has logged since the last look.
func (s *ServeProcess) newLogLines() ([]byte, error) {
	f, err := os.Open(s.process.Log)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.NewSectionReader(f, s.logOffset, 1<<30))
	text = text[:bytes.LastIndexByte(text, '\n')+1]
	s.logOffset += int64(len(text))
	return text, err
}

// awaitResponse asks the version host until it answers a text.
func (s *ServeProcess) awaitResponse(ctx context.Context, path, want string) error {
	for {
		text, err := s.get(ctx, path)
		if err == nil && text == want {
			return nil
		}
		if pauseErr := ctxtime.Sleep(ctx, versionPollInterval); pauseErr != nil {
			return errors.Join(fmt.Errorf("%s answers %q, not %q", path, text, want), err, pauseErr)
		}
	}
}

func (s *ServeProcess) get(ctx context.Context, path string) (string, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+VersionHost+path, nil)
	if err != nil {
		return "", err
	}
	a, err := s.client.Do(q)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return string(bytes.TrimSpace(text)), err
}
