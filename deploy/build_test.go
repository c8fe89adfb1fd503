package deploy_test

import (
	"context"
	"errors"
	"go/version"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"
	"golang.org/x/mod/modfile"
)

const (
	// buildTimeout is the time that the platform gives a build.
	buildTimeout = 15 * time.Minute
	// certificates is the bundle that ca-certificates generates when it is
	// installed, which is therefore not among its files.
	certificates = "/etc/ssl/certs/ca-certificates.crt"
	// smallModule is a module of the build whose download is short.
	smallModule = "github.com/google/uuid"
)

// system is the part of the deploy file that the build depends on.
type system struct {
	Build    string   `toml:"build"`
	Packages []string `toml:"packages"`
	Roles    map[string]struct {
		Run string `toml:"run"`
	} `toml:"roles"`
}

func readSystem(t *testing.T) system {
	var s system
	_, err := toml.DecodeFile("system.toml", &s)
	require.NoError(t, err)
	return s
}

// command runs a program in dir with just the environment variables env, and returns
// what it prints.
func command(t *testing.T, dir string, env []string, name string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), buildTimeout)
	defer cancel()
	c := exec.CommandContext(ctx, name, args...)
	c.Dir, c.Env = dir, env
	out, err := c.CombinedOutput()
	return string(out), err
}

// query runs a program of this machine and returns the lines that it prints.
func query(t *testing.T, name string, args ...string) []string {
	out, err := exec.CommandContext(t.Context(), name, args...).Output()
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		require.NoError(t, err, string(failed.Stderr))
	}
	require.NoError(t, err)
	return strings.Split(strings.TrimSpace(string(out)), "\n")
}

// dependencies returns the installed packages that come with the named ones: those
// that they depend on, and those that every Debian system has.
func dependencies(t *testing.T, names []string) []string {
	depends := make(map[string]string)
	todo := slices.Clone(names)
	for _, line := range query(t, "dpkg-query", "-W", "-f", "${Package}|${Essential}|${Pre-Depends}, ${Depends}|${Provides}\n") {
		f := strings.Split(line, "|")
		// Alternatives are separated by the same character.
		depends[f[0]] = strings.Join(f[2:len(f)-1], ",")
		if f[1] == "yes" {
			todo = append(todo, f[0])
		}
	}
	found := make(map[string]struct{})
	for len(todo) > 0 {
		p := todo[0]
		todo = todo[1:]
		_, isFound := found[p]
		needs, isInstalled := depends[p]
		if isFound || !isInstalled {
			continue
		}
		found[p] = struct{}{}
		for d := range strings.SplitSeq(needs, ",") {
			if f := strings.Fields(d); len(f) > 0 {
				name, _, _ := strings.Cut(f[0], ":")
				todo = append(todo, name)
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// tree links all files of packages and of the packages that they need below a new
// folder, and returns the folder.
func tree(t *testing.T, packages []string) string {
	root := t.TempDir()
	for _, directory := range []string{"bin", "sbin", "lib", "lib64"} {
		require.NoError(t, os.MkdirAll(filepath.Join(root, "usr", directory), 0o700))
		require.NoError(t, os.Symlink(filepath.Join("usr", directory), filepath.Join(root, directory)))
	}
	files := query(t, "dpkg-query", append([]string{"-L"}, dependencies(t, packages)...)...)
	if slices.Contains(packages, "ca-certificates") {
		files = append(files, certificates)
	}
	for _, f := range files {
		i, err := os.Stat(f)
		if err != nil || !i.Mode().IsRegular() || strings.HasPrefix(f, "/usr/share") {
			continue
		}
		link := filepath.Join(root, f)
		require.NoError(t, os.MkdirAll(filepath.Dir(link), 0o700))
		if err := os.Symlink(f, link); !errors.Is(err, os.ErrExist) {
			require.NoError(t, err)
		}
	}
	return root
}

// checkout returns a folder with the files of the working tree that are in version
// control.
func checkout(t *testing.T) string {
	top := query(t, "git", "rev-parse", "--show-toplevel")[0]
	dir := t.TempDir()
	for _, f := range query(t, "git", "ls-files", "--full-name", top) {
		data, err := os.ReadFile(filepath.Join(top, f))
		if errors.Is(err, os.ErrNotExist) {
			continue // deleted, not yet committed
		}
		require.NoError(t, err)
		require.NoError(t, os.MkdirAll(filepath.Dir(filepath.Join(dir, f)), 0o700))
		require.NoError(t, os.WriteFile(filepath.Join(dir, f), data, 0o600))
	}
	return dir
}

// environment returns the variables of a build on a machine that has just Go and the
// files below root. Modules come from the cache of this machine.
func environment(t *testing.T, root string) []string {
	lines := query(t, "go", "env", "GOROOT", "GOMODCACHE", "GOCACHE", "GOPROXY")
	bin := filepath.Join(root, "usr", "bin")
	if err := os.Symlink(filepath.Join(lines[0], "bin", "go"), filepath.Join(bin, "go")); !errors.Is(err, os.ErrExist) {
		require.NoError(t, err)
	}
	return []string{
		"PATH=" + bin, "HOME=" + t.TempDir(), "GOTOOLCHAIN=local", "CC=gcc --sysroot=" + root,
		"GOMODCACHE=" + lines[1], "GOCACHE=" + lines[2], "GOPROXY=" + lines[3],
		"SSL_CERT_FILE=" + filepath.Join(root, certificates), "SSL_CERT_DIR=" + filepath.Join(root, "etc/ssl/certs"),
	}
}

// download downloads a module of the build into an empty cache.
func download(t *testing.T, dir string, env []string) error {
	// A cache is read-only, which t.TempDir would not remove.
	env = append(slices.Clone(env), "GOMODCACHE="+t.TempDir(), "GOFLAGS=-modcacherw")
	out, err := command(t, dir, env, "go", "mod", "download", smallModule)
	if err != nil {
		t.Log(out)
	}
	return err
}

// Guards against a build that needs what only a developer's machine has: it builds
// with Go and the declared packages, and with no fewer of them.
func TestBuildWithDeclaredPackages(t *testing.T) {
	s := readSystem(t)
	dir := checkout(t)
	env := environment(t, tree(t, s.Packages))
	out, err := command(t, dir, env, "/bin/sh", "-c", s.Build)
	require.NoError(t, err, out)
	require.NoError(t, download(t, dir, env))
	for _, r := range s.Roles {
		require.FileExists(t, filepath.Join(dir, strings.Fields(r.Run)[0]))
	}
	for _, p := range s.Packages {
		t.Run("without "+p, func(t *testing.T) {
			rest := slices.DeleteFunc(slices.Clone(s.Packages), func(q string) bool { return q == p })
			env := environment(t, tree(t, rest))
			out, err := command(t, dir, env, "/bin/sh", "-c", s.Build)
			if err == nil {
				err = download(t, dir, env)
			}
			require.Error(t, err, "the build does not need it")
			t.Log(out)
		})
	}
}

// Guards against a build of what the platform does not run, with the modules that it
// needs.
func TestBuildOfRolesOnly(t *testing.T) {
	s := readSystem(t)
	dir := checkout(t)
	out, err := command(t, dir, environment(t, tree(t, s.Packages)), "/bin/sh", "-c", s.Build)
	require.NoError(t, err, out)
	var expected []string
	for _, r := range s.Roles {
		expected = append(expected, filepath.Base(strings.Fields(r.Run)[0]))
	}
	built, err := os.ReadDir(filepath.Join(dir, "target"))
	require.NoError(t, err)
	var names []string
	for _, f := range built {
		names = append(names, f.Name())
	}
	slices.Sort(expected)
	require.Equal(t, expected, names)
}

// Guards against a build that asks for a newer Go than its modules need, so that a
// machine with an older patch release refuses it.
func TestGoVersionIsThatOfModules(t *testing.T) {
	data, err := os.ReadFile("../go.mod")
	require.NoError(t, err)
	f, err := modfile.Parse("go.mod", data, nil)
	require.NoError(t, err)
	// Tests and tools are not part of the build, but of the module.
	modules := query(t, "go", "list", "-deps", "-test", "-f", "{{with .Module}}{{if not .Main}}go{{.GoVersion}}{{end}}{{end}}", "../...", "tool")
	required := slices.MaxFunc(modules, version.Compare)
	require.Equal(t, strings.TrimPrefix(required, "go"), f.Go.Version)
	require.Nil(t, f.Toolchain)
}
