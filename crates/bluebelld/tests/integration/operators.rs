//! No accepted change of settings is lost or applied twice, also when operators submit changes concurrently, repeat
//! them, or lose the reply.

use bluebell_standins::site::StoreMode;

use crate::util::Fleet;

fn write_branch_file(name: &str, quality: u32, base: u64) -> String {
    let path = std::env::temp_dir().join(format!("bluebell-{}-{name}-{quality}.yaml", std::process::id()));
    let text = format!("# base: {base}\nbranch: {name}\nparent: maktabat\nquality: {quality}%\n");
    std::fs::write(&path, text).expect("the settings file should be writable");
    path.display().to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn of_concurrent_changes_to_a_branch_one_wins_and_the_others_are_refused_as_conflicts() {
    let fleet = Fleet::start().await;
    let files: Vec<String> = (1..=6).map(|quality| write_branch_file("spring", quality, 1)).collect();
    let submissions = files.iter().enumerate().map(|(index, file)| {
        let fleet = &fleet;
        async move { fleet.ctl(index % 2, &["settings", "set", file]).await }
    });
    let results = futures_util::future::join_all(submissions).await;
    let accepted = results.iter().filter(|(code, _)| *code == 0).count();
    assert_eq!(accepted, 1, "{results:?}");
    for (code, text) in results.iter().filter(|(code, _)| *code != 0) {
        assert_eq!(*code, 3, "{text}");
        assert!(text.contains("was made against revision 1 of branch spring, but change"), "{text}");
    }
    let (_, history) = fleet.ctl(0, &["settings", "history"]).await;
    assert_eq!(history.lines().filter(|line| line.contains("set spring")).count(), 1, "{history}");
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_to_different_branches_are_all_kept() {
    let fleet = Fleet::start().await;
    let files: Vec<String> = (0..6).map(|index| write_branch_file(&format!("crew-{index}"), 50, 1)).collect();
    let submissions = files.iter().enumerate().map(|(index, file)| {
        let fleet = &fleet;
        async move { fleet.ctl(index % 2, &["settings", "set", file]).await }
    });
    for (code, text) in futures_util::future::join_all(submissions).await {
        assert_eq!(code, 0, "{text}");
    }
    let (_, history) = fleet.ctl(0, &["settings", "history"]).await;
    assert_eq!(history.lines().filter(|line| line.contains("set crew-")).count(), 6, "{history}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_reply_was_lost_is_applied_once() {
    let fleet = Fleet::start().await;
    let file = write_branch_file("autumn", 60, 1);
    fleet.set_store_mode(StoreMode::Lossy).await;
    let (code, text) = fleet.ctl(0, &["--change", "autumn-1", "settings", "set", &file]).await;
    assert_eq!(code, 0, "{text}");
    fleet.set_store_mode(StoreMode::Open).await;
    let (code, again) = fleet.ctl(1, &["--change", "autumn-1", "settings", "set", &file]).await;
    assert_eq!((code, &again), (0, &text));
    let (_, history) = fleet.ctl(0, &["settings", "history"]).await;
    assert_eq!(history.lines().filter(|line| line.contains("set autumn")).count(), 1, "{history}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_change_is_refused_as_a_whole() {
    let fleet = Fleet::start().await;
    let path = std::env::temp_dir().join(format!("bluebell-{}-invalid.yaml", std::process::id()));
    let text = "branches:\n  - { branch: winter, parent: maktabat }\n  - { branch: lost, parent: nowhere }\n";
    std::fs::write(&path, text).expect("the settings file should be writable");
    let (code, text) = fleet.ctl(0, &["settings", "set", &path.display().to_string()]).await;
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("branch lost, key parent: nowhere is not allowed"), "{text}");
    let (code, _) = fleet.ctl(0, &["settings", "get", "winter"]).await;
    assert_eq!(code, 2, "no part of an invalid change should be applied");
}
