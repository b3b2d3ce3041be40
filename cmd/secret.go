package cmd

import (
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// adminTokenEnv names the environment variable with the bearer token. No flag takes the
// token itself, since other users can read the flags of a process.
const adminTokenEnv = envPrefix + "_ADMIN_TOKEN"

const maxTokenFileBytes = 4 << 10

// adminToken reads the bearer token of the administration interface from a file or, when
// file is empty, from the environment. Its errors never contain the token.
func adminToken(file string) (string, error) {
	token := os.Getenv(adminTokenEnv)
	if file == "" {
		return token, nil
	}
	if token != "" {
		return "", errors.Errorf("-admin-token-file and %s: want only one of them", adminTokenEnv)
	}
	f, err := os.Open(file)
	if err != nil {
		return "", errors.Wrap(err, "-admin-token-file")
	}
	defer func() { _ = f.Close() }()
	raw, err := io.ReadAll(io.LimitReader(f, maxTokenFileBytes+1))
	if err != nil {
		return "", errors.Wrap(err, "-admin-token-file")
	}
	token = strings.TrimSpace(string(raw))
	if token == "" || len(raw) > maxTokenFileBytes {
		return "", errors.Errorf("-admin-token-file: want 1 to %d bytes in %s", maxTokenFileBytes, file)
	}
	return token, nil
}
