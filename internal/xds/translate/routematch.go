package translate

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	uriv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/path/match/uri_template/v3"
	matcherv3 "github.com/envoyproxy/go-control-plane/envoy/type/matcher/v3"

	"yokestall/internal/route"
)

const (
	// anyText is a regular expression that matches any text.
	anyText = "(?s:.*)"
	// subPath is a regular expression that matches nothing, or a slash and any text.
	subPath = "(?s:/.*)?"
	// ignoreCase is the prefix that makes a regular expression ignore case.
	ignoreCase = "(?i)"
)

// match translates the match conditions of a route.
func match(m *routev3.RouteMatch, out *route.Route) error {
	if err := rejectFields(m.ProtoReflect(), rejectedInRouteMatch); err != nil {
		return err
	}
	if err := matchPath(m, out); err != nil {
		return err
	}
	for i, h := range m.GetHeaders() {
		if err := matchHeader(h, out); err != nil {
			return fmt.Errorf("headers %d (%.64s): %w", i+1, h.GetName(), err)
		}
	}
	return nil
}

// matchPath translates the path match of a route. A match without a kind in package route becomes a regular expression.
func matchPath(m *routev3.RouteMatch, out *route.Route) error {
	foldCase := m.GetCaseSensitive() != nil && !m.GetCaseSensitive().GetValue()
	setPattern := func(literal, rest string) {
		out.Kind, out.Path = route.PathRegex, regexp.QuoteMeta(literal)+rest
		if foldCase {
			out.Path = ignoreCase + out.Path
		}
	}
	switch p := m.GetPathSpecifier().(type) {
	case *routev3.RouteMatch_Prefix:
		if out.Kind, out.Path = route.PathPrefix, p.Prefix; foldCase {
			setPattern(p.Prefix, anyText)
		}
	case *routev3.RouteMatch_Path:
		if out.Kind, out.Path = route.PathExact, p.Path; foldCase {
			setPattern(p.Path, "")
		}
	case *routev3.RouteMatch_PathSeparatedPrefix:
		prefix := p.PathSeparatedPrefix
		if !strings.HasPrefix(prefix, "/") || strings.ContainsAny(prefix, "?#") || strings.HasSuffix(prefix, "/") {
			return fmt.Errorf("path_separated_prefix: %.64q has no leading slash, or has a trailing slash, ? or #", prefix)
		}
		setPattern(prefix, subPath)
	case *routev3.RouteMatch_SafeRegex:
		out.Kind, out.Path = route.PathRegex, p.SafeRegex.GetRegex()
	case *routev3.RouteMatch_PathMatchPolicy:
		var t uriv3.UriTemplateMatchConfig
		if a := p.PathMatchPolicy.GetTypedConfig(); !a.MessageIs(&t) || a.UnmarshalTo(&t) != nil {
			return errors.New("path_match_policy: only a valid uri_template is supported")
		}
		out.Kind, out.Path = route.PathTemplate, t.GetPathTemplate()
	default:
		return errors.New("no supported path specifier is set")
	}
	return nil
}

// matchHeader translates a header matcher. The only pseudo-header match that is supported is one exact :method.
func matchHeader(h *routev3.HeaderMatcher, out *route.Route) error {
	if err := rejectFields(h.ProtoReflect(), rejectedInHeaderMatcher); err != nil {
		return err
	}
	c := route.HeaderMatcher{Name: h.GetName(), Invert: h.GetInvertMatch()}
	if err := headerCondition(h, &c); err != nil {
		return err
	}
	if !strings.HasPrefix(c.Name, ":") {
		out.Headers = append(out.Headers, c)
		return nil
	}
	if c.Name != ":method" || c.Kind != route.HeaderExact || c.Invert || len(out.Methods) > 0 {
		return errors.New("the only pseudo-header match that is supported is one exact :method")
	}
	out.Methods = []string{c.Value}
	return nil
}

// headerCondition translates the condition of a header matcher.
func headerCondition(h *routev3.HeaderMatcher, c *route.HeaderMatcher) error {
	switch m := h.GetHeaderMatchSpecifier().(type) {
	case nil:
		c.Kind = route.HeaderPresent
	case *routev3.HeaderMatcher_PresentMatch:
		c.Kind, c.Invert = route.HeaderPresent, c.Invert == m.PresentMatch
	case *routev3.HeaderMatcher_ExactMatch:
		//lint:ignore SA1019 control planes in use still send the deprecated forms
		c.Kind, c.Value = route.HeaderExact, m.ExactMatch
	case *routev3.HeaderMatcher_PrefixMatch:
		//lint:ignore SA1019 control planes in use still send the deprecated forms
		c.Kind, c.Value = route.HeaderPrefix, m.PrefixMatch
	case *routev3.HeaderMatcher_SuffixMatch:
		//lint:ignore SA1019 control planes in use still send the deprecated forms
		c.Kind, c.Value = route.HeaderSuffix, m.SuffixMatch
	case *routev3.HeaderMatcher_ContainsMatch:
		//lint:ignore SA1019 control planes in use still send the deprecated forms
		c.Kind, c.Value = route.HeaderContains, m.ContainsMatch
	case *routev3.HeaderMatcher_SafeRegexMatch:
		//lint:ignore SA1019 control planes in use still send the deprecated forms
		c.Kind, c.Value = route.HeaderRegex, m.SafeRegexMatch.GetRegex()
	case *routev3.HeaderMatcher_StringMatch:
		return stringCondition(m.StringMatch, c)
	default:
		return errors.New("the header match specifier is unknown")
	}
	return nil
}

// stringCondition translates a string matcher. A matcher that ignores case becomes a regular expression.
func stringCondition(m *matcherv3.StringMatcher, c *route.HeaderMatcher) error {
	foldCase := func(before, literal, after string) {
		if m.GetIgnoreCase() {
			c.Kind, c.Value = route.HeaderRegex, ignoreCase+before+regexp.QuoteMeta(literal)+after
		}
	}
	switch p := m.GetMatchPattern().(type) {
	case *matcherv3.StringMatcher_Exact:
		c.Kind, c.Value = route.HeaderExact, p.Exact
		foldCase("", p.Exact, "")
	case *matcherv3.StringMatcher_Prefix:
		c.Kind, c.Value = route.HeaderPrefix, p.Prefix
		foldCase("", p.Prefix, anyText)
	case *matcherv3.StringMatcher_Suffix:
		c.Kind, c.Value = route.HeaderSuffix, p.Suffix
		foldCase(anyText, p.Suffix, "")
	case *matcherv3.StringMatcher_Contains:
		c.Kind, c.Value = route.HeaderContains, p.Contains
		foldCase(anyText, p.Contains, anyText)
	case *matcherv3.StringMatcher_SafeRegex:
		c.Kind, c.Value = route.HeaderRegex, p.SafeRegex.GetRegex()
	default:
		return errors.New("string_match: the match pattern is not supported")
	}
	return nil
}
