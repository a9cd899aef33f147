//! Checks that the modules of the daemon have no circular imports.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

type Imports = BTreeMap<String, BTreeSet<String>>;

fn find_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            find_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

// Module path of a source file; `entry/mod.rs` gives `entry`.
fn module_path(root: &Path, file: &Path) -> String {
    let inner = file.strip_prefix(root).expect("the file is inside").with_extension("");
    let parts = inner.components().map(|part| part.as_os_str().to_string_lossy().into_owned());
    parts.filter(|part| part != "mod").collect::<Vec<_>>().join("::")
}

// Expands a use tree into its paths: `a::{b, c::{d, e}}` gives `a::b`, `a::c::d` and `a::c::e`.
fn expand(tree: &str, prefix: &str, paths: &mut Vec<String>) {
    let tree = tree.trim();
    let Some(open) = tree.find('{') else {
        paths.push(format!("{prefix}{tree}"));
        return;
    };
    let inner = &tree[open + 1..tree.rfind('}').expect("braces are balanced")];
    let prefix = format!("{prefix}{}", &tree[..open]);
    let (mut depth, mut start) = (0, 0);
    for (at, char) in inner.char_indices() {
        match char {
            '{' => depth += 1,
            '}' => depth -= 1,
            ',' if depth == 0 => {
                expand(&inner[start..at], &prefix, paths);
                start = at + 1;
            }
            _ => {}
        }
    }
    if !inner[start..].trim().is_empty() {
        expand(&inner[start..], &prefix, paths);
    }
}

// Paths that a module imports by `use crate::` or `use super::`, relative to the root of the crate.
fn imported_paths(text: &str, own: &str) -> Vec<String> {
    let mut paths = Vec::new();
    for start in ["use crate::", "use super::"] {
        for (at, _) in text.match_indices(start) {
            let rest = &text[at + "use ".len()..];
            expand(&rest[..rest.find(';').expect("a use declaration ends with a semicolon")], "", &mut paths);
        }
    }
    paths.iter().map(|path| absolute_path(path, own)).collect()
}

fn absolute_path(path: &str, own: &str) -> String {
    if let Some(rest) = path.strip_prefix("crate::") {
        return rest.to_owned();
    }
    let (mut base, mut rest) = (own, path);
    while let Some(next) = rest.strip_prefix("super::") {
        base = base.rsplit_once("::").map_or("", |(parent, _)| parent);
        rest = next;
    }
    if base.is_empty() { rest.to_owned() } else { format!("{base}::{rest}") }
}

// The module that a path refers to: the longest prefix of the path that is a module. An item that this module only
// re-exports from a child counts as an import of the child.
fn resolve(path: &str, modules: &BTreeMap<String, String>) -> Option<String> {
    let mut module = path.to_owned();
    while !modules.contains_key(&module) {
        module = module.rsplit_once("::")?.0.to_owned();
    }
    let item = path[module.len()..].trim_start_matches("::");
    for path in child_imports(&modules[&module], &module, "pub use ", modules) {
        if !item.is_empty() && path.ends_with(&format!("::{item}")) {
            return resolve(&path, modules);
        }
    }
    Some(module)
}

// Paths that a module imports from its child modules, in declarations that begin with `keyword` (`use ` or `pub use `).
fn child_imports(text: &str, own: &str, keyword: &str, modules: &BTreeMap<String, String>) -> Vec<String> {
    let mut paths = Vec::new();
    for (at, _) in text.match_indices(&format!("\n{keyword}")) {
        let rest = &text[at + 1 + keyword.len()..];
        expand(&rest[..rest.find(';').expect("a use declaration ends with a semicolon")], "", &mut paths);
    }
    let below = paths.iter().map(|path| format!("{own}::{path}"));
    below.filter(|path| modules.keys().any(|name| name.len() > own.len() && path.starts_with(name))).collect()
}

// Child modules that a module refers to by name, as in `admit::serve(...)`.
fn named_children(text: &str, own: &str, modules: &BTreeMap<String, String>) -> Vec<String> {
    let inside = modules.keys().filter_map(|name| name.strip_prefix(&format!("{own}::")));
    let direct = inside.filter(|child| !child.contains("::") && text.contains(&format!("{child}::")));
    direct.map(|child| format!("{own}::{child}")).collect()
}

fn imports() -> Imports {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut found = Vec::new();
    find_sources(&root, &mut found);
    let text = |file: &PathBuf| fs::read_to_string(file).expect("the file can be read");
    let modules: BTreeMap<String, String> = found.iter().map(|file| (module_path(&root, file), text(file))).collect();
    let imports_of = |(own, text): (&String, &String)| {
        let mut paths = imported_paths(text, own);
        paths.extend(child_imports(text, own, "use ", &modules));
        paths.extend(named_children(text, own, &modules));
        let targets = paths.iter().filter_map(|path| resolve(path, &modules)).filter(|name| name != own);
        (own.clone(), targets.collect())
    };
    modules.iter().map(imports_of).collect()
}

// All modules that a module imports, directly or through others.
fn transitive_imports(imports: &Imports, from: &str) -> BTreeSet<String> {
    let mut seen = BTreeSet::new();
    let mut pending: Vec<&String> = imports[from].iter().collect();
    while let Some(next) = pending.pop() {
        if seen.insert(next.clone()) {
            pending.extend(&imports[next]);
        }
    }
    seen
}

#[test]
fn modules_have_no_circular_imports() {
    let imports = imports();
    assert!(imports.len() > 50, "too few modules were found: {}", imports.len());
    let circular: Vec<&String> =
        imports.keys().filter(|own| transitive_imports(&imports, own).contains(*own)).collect();
    assert!(circular.is_empty(), "modules with circular imports: {circular:?}");
}

#[test]
fn nested_use_trees_are_expanded() {
    let text = "use crate::{\n    a::{self, b},\n    c,\n};\nuse super::{d::E, super::f};\n";
    assert_eq!(imported_paths(text, "x::y::z"), ["a::self", "a::b", "c", "x::y::d::E", "x::f"]);
}
