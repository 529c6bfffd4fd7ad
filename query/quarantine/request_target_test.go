package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against submissions of one request that count apart because their callers escape its path differently.
func TestCanonicalTarget(t *testing.T) {
	for _, tc := range []struct{ target, want string }{
		{"/a/b?c=d", "/a/b?c=d"},
		{"/%61/%62?%63=d", "/a/b?c=d"},
		{"/%7euser/%2D%2e%5F", "/~user/-._"},
		{"/a%2fb", "/a%2Fb"},
		{"/a%2Fb", "/a%2Fb"},
		{"/a/b", "/a/b"},
		{"/x%c3%a9", "/x%C3%A9"},
		{"/x%", "/x%"},
		{"/x%4", "/x%4"},
		{"/x%zz%41", "/x%zzA"},
		{"/x%+1", "/x%+1"},
		{"/x%2541", "/x%2541"},
		{"/?b=2&a=1", "/?b=2&a=1"},
		{"http://h.example:80/a/%62", "/a/b"},
		{"http://h.example", "/"},
		{"http://h.example?q=1", "/?q=1"},
		{"/go?to=http://h.example/%61", "/go?to=http://h.example/a"},
		{"*", "*"},
		{"", ""},
	} {
		require.Equal(t, tc.want, CanonicalTarget(tc.target), tc.target)
		require.Equal(t, tc.want, CanonicalTarget(CanonicalTarget(tc.target)), tc.target)
	}
	require.NotEqual(t, CanonicalTarget("/a%2Fb"), CanonicalTarget("/a/b"))
}
