//! Modules of the daemon import each other in one direction: no file is reached from itself by way of its imports.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

type Imports = BTreeMap<String, BTreeSet<String>>;

fn files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

// Module of a file, without the parts of its path that only name the folder: `entry::chat`, `entry`.
fn module(root: &Path, file: &Path) -> String {
    let inner = file.strip_prefix(root).expect("the file is inside").with_extension("");
    let parts = inner.components().map(|part| part.as_os_str().to_string_lossy().into_owned());
    parts.filter(|part| part != "mod").collect::<Vec<_>>().join("::")
}

// Paths of a use tree: `a::{b, c::{d, e}}` gives `a::b`, `a::c::d` and `a::c::e`.
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

// Paths that a module uses, from the root of the crate.
fn used(text: &str, own: &str) -> Vec<String> {
    let mut paths = Vec::new();
    for start in ["use crate::", "use super::"] {
        for (at, _) in text.match_indices(start) {
            let rest = &text[at + "use ".len()..];
            expand(&rest[..rest.find(';').expect("a use ends")], "", &mut paths);
        }
    }
    paths.iter().map(|path| absolute(path, own)).collect()
}

fn absolute(path: &str, own: &str) -> String {
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

// The longest part of a path that is a module. What a folder's file only re-exports counts for the file behind it.
fn target(path: &str, modules: &BTreeMap<String, String>) -> Option<String> {
    let mut module = path.to_owned();
    while !modules.contains_key(&module) {
        module = module.rsplit_once("::")?.0.to_owned();
    }
    let item = path[module.len()..].trim_start_matches("::");
    for path in children(&modules[&module], &module, "pub use ", modules) {
        if !item.is_empty() && path.ends_with(&format!("::{item}")) {
            return target(&path, modules);
        }
    }
    Some(module)
}

// Paths below a folder's file that it imports in this way.
fn children(text: &str, own: &str, start: &str, modules: &BTreeMap<String, String>) -> Vec<String> {
    let mut paths = Vec::new();
    for (at, _) in text.match_indices(&format!("\n{start}")) {
        let rest = &text[at + 1 + start.len()..];
        expand(&rest[..rest.find(';').expect("a use ends")], "", &mut paths);
    }
    let below = paths.iter().map(|path| format!("{own}::{path}"));
    below.filter(|path| modules.keys().any(|name| name.len() > own.len() && path.starts_with(name))).collect()
}

// Children that a folder's file calls by name, as in `admit::serve(...)`.
fn called(text: &str, own: &str, modules: &BTreeMap<String, String>) -> Vec<String> {
    let inside = modules.keys().filter_map(|name| name.strip_prefix(&format!("{own}::")));
    let direct = inside.filter(|child| !child.contains("::") && text.contains(&format!("{child}::")));
    direct.map(|child| format!("{own}::{child}")).collect()
}

fn imports() -> Imports {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut found = Vec::new();
    files(&root, &mut found);
    let text = |file: &PathBuf| fs::read_to_string(file).expect("the file can be read");
    let modules: BTreeMap<String, String> = found.iter().map(|file| (module(&root, file), text(file))).collect();
    let read = |(own, text): (&String, &String)| {
        let mut paths = used(text, own);
        paths.extend(children(text, own, "use ", &modules));
        paths.extend(called(text, own, &modules));
        let targets = paths.iter().filter_map(|path| target(path, &modules)).filter(|name| name != own);
        (own.clone(), targets.collect())
    };
    modules.iter().map(read).collect()
}

fn reached(imports: &Imports, from: &str) -> BTreeSet<String> {
    let mut seen = BTreeSet::new();
    let mut open: Vec<&String> = imports[from].iter().collect();
    while let Some(next) = open.pop() {
        if seen.insert(next.clone()) {
            open.extend(&imports[next]);
        }
    }
    seen
}

#[test]
fn no_file_is_reached_from_itself() {
    let imports = imports();
    assert!(imports.len() > 50, "the modules are found: {}", imports.len());
    let circular: Vec<&String> = imports.keys().filter(|own| reached(&imports, own).contains(*own)).collect();
    assert!(circular.is_empty(), "files in a circle of imports: {circular:?}");
}

#[test]
fn use_trees_are_read_whole() {
    let text = "use crate::{\n    a::{self, b},\n    c,\n};\nuse super::{d::E, super::f};\n";
    assert_eq!(used(text, "x::y::z"), ["a::self", "a::b", "c", "x::y::d::E", "x::f"]);
}
