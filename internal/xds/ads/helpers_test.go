package ads

import (
	"errors"
	"strings"

	"google.golang.org/protobuf/types/known/anypb"
)

// decode decodes a resource of the form "name=content". It rejects the content "bad".
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

// body returns a resource body that decode accepts, unless content is "bad".
func body(t Type, name, content string) *anypb.Any {
	return &anypb.Any{TypeUrl: t.URL(), Value: []byte(name + "=" + content)}
}
