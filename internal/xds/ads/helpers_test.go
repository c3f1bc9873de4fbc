package ads

import (
	"errors"
	"strings"

	"google.golang.org/protobuf/types/known/anypb"
)

// decode decodes the resources of these tests: "name=content", where the content "bad" is invalid.
func decode(_ Type, body *anypb.Any) (string, any, error) {
	name, content, ok := strings.Cut(string(body.Value), "=")
	if !ok {
		return "", nil, errors.New("is no resource")
	}
	if content == "bad" {
		return name, nil, errors.New("is bad")
	}
	return name, content, nil
}

// body returns the body of a resource.
func body(t Type, name, content string) *anypb.Any {
	return &anypb.Any{TypeUrl: t.URL(), Value: []byte(name + "=" + content)}
}
